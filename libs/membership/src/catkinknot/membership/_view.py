"""Join the platform's list with what the instances say themselves."""

import threading
from typing import Literal

from pydantic.dataclasses import dataclass

from catkinknot.model import Clock, SystemClock

from ._listing import ListedInstance

__all__ = ["Heartbeat", "MembershipView", "PeerView"]

IN_ZONE_PERIOD_S = 0.5
"""Instances of one zone send each other a heartbeat this often."""

CROSS_ZONE_PERIOD_S = 8.0
"""Instances of different zones send each other a heartbeat this often.

Changes are announced at once, and a broken connection is noticed by itself,
so these only confirm what is known.
"""

_MISSED = 4
"""An instance that missed this many heartbeats is not reachable."""


@dataclass(frozen=True)
class Heartbeat:
    """Say that an instance is alive and what it knows.

    Attributes:
        instance: Its name.
        boot: Names this run of it.
        zone: Its availability zone.
        state: Whether it takes new work.
        holds: The epoch under which it schedules its zone, empty for none.
        config_version: The configuration that it has in force.
        log_offset: How far it has read the log.
        log_silent_s: Seconds since the log last answered it, -1 for never.
        free_accelerators: Free ones in the zone that it schedules.
        sent: Counts its heartbeats.
    """

    instance: str
    boot: str
    zone: str
    state: Literal["live", "leaving"]
    holds: str = ""
    config_version: int = 0
    log_offset: int = 0
    log_silent_s: float = -1.0
    free_accelerators: int = 0
    sent: int = 0
    type: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True)
class PeerView:
    """Hold what is known of one instance.

    Attributes:
        listed: What the platform's list says.
        heartbeat: Its newest heartbeat, None before the first.
        heard_s: When that came.
        reachable: Whether it is heard regularly.
        leaving: Whether it takes no new work, by its own word or the list's.
    """

    listed: ListedInstance
    heartbeat: Heartbeat | None
    heard_s: float
    reachable: bool
    leaving: bool

    @property
    def usable(self) -> bool:
        """Whether new work may be forwarded to it."""
        return self.reachable and not self.leaving


class MembershipView:
    """Say which other instances there are and which of them take work."""

    def __init__(self, instance: str, zone: str, *, clock: Clock | None = None) -> None:
        """Start with nobody known.

        Args:
            instance: This instance.
            zone: Its availability zone.
            clock: Where time comes from.
        """
        self._instance = instance
        self._zone = zone
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._listed: dict[str, ListedInstance] = {}
        self._heartbeats: dict[str, tuple[float, Heartbeat]] = {}
        self._list_s: float | None = None

    def apply_list(self, listed: list[ListedInstance]) -> None:
        """Take a newer list.

        Args:
            listed: All instances that the platform knows of.
        """
        with self._lock:
            self._listed = {item.name: item for item in listed if item.name != self._instance}
            self._list_s = self._clock.now()
            for name in [name for name in self._heartbeats if name not in self._listed]:
                if not self._fresh(name):
                    del self._heartbeats[name]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the word of an instance; older or repeated ones are dropped.

        Args:
            heartbeat: What it says.
        """
        with self._lock:
            _, known = self._heartbeats.get(heartbeat.instance, (0.0, None))
            same_run = known is not None and known.boot == heartbeat.boot
            if same_run and heartbeat.sent <= known.sent:
                return
            self._heartbeats[heartbeat.instance] = (self._clock.now(), heartbeat)

    def mark_remote_unreachable(self, name: str) -> None:
        """Call an instance of another zone unreachable until it is heard again.

        Instances of this zone are judged by their heartbeats alone, as a take-
        over must not follow from one broken connection.

        Args:
            name: The instance whose connection broke.
        """
        with self._lock:
            listed = self._listed.get(name)
            if listed is not None and listed.zone != self._zone:
                self._heartbeats.pop(name, None)

    def list_age_s(self) -> float | None:
        """Return seconds since the list was last read, None if it never was."""
        with self._lock:
            return None if self._list_s is None else self._clock.now() - self._list_s

    def entries(self) -> list[PeerView]:
        """Return the other entry instances, by name."""
        with self._lock:
            names = sorted(name for name, item in self._listed.items() if item.role == "entry")
            return [self._view(name) for name in names]

    def entry(self, name: str) -> PeerView | None:
        """Return what is known of one entry instance, or None."""
        with self._lock:
            listed = self._listed.get(name)
            return self._view(name) if listed and listed.role == "entry" else None

    def backends(self, zone: str) -> list[ListedInstance]:
        """Return the backend servers of a zone, by name."""
        with self._lock:
            found = [i for i in self._listed.values() if i.role == "backend" and i.zone == zone]
            return sorted(found, key=lambda item: item.name)

    def holder_of(self, zone: str) -> PeerView | None:
        """Return the reachable instance that says it schedules a zone.

        Should two say so, the one with the higher epoch is right.
        """
        holders = [
            peer
            for peer in self.entries()
            if peer.reachable and peer.heartbeat.zone == zone and peer.heartbeat.holds
        ]
        return max(holders, key=_epoch, default=None)

    def rank_in_zone(self) -> int:
        """Return how many usable instances of this zone come before this one."""
        return sum(
            1
            for peer in self.entries()
            if peer.usable and peer.listed.zone == self._zone and peer.listed.name < self._instance
        )

    def _view(self, name: str) -> PeerView:
        """Join what is known of one instance."""
        listed = self._listed[name]
        heard_s, heartbeat = self._heartbeats.get(name, (0.0, None))
        leaving = listed.state == "leaving"
        if heartbeat is not None:
            leaving = leaving or heartbeat.state == "leaving"
        return PeerView(listed, heartbeat, heard_s, self._fresh(name), leaving)

    def _fresh(self, name: str) -> bool:
        """Tell whether an instance is heard regularly."""
        if name not in self._heartbeats:
            return False
        heard_s, heartbeat = self._heartbeats[name]
        period_s = IN_ZONE_PERIOD_S if heartbeat.zone == self._zone else CROSS_ZONE_PERIOD_S
        return self._clock.now() - heard_s <= period_s * _MISSED


def _epoch(peer: PeerView) -> tuple[int, ...]:
    """Return the epoch that a peer says it holds."""
    return tuple(int(part) for part in peer.heartbeat.holds.split("."))
