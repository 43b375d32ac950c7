"""View of the other instances, joined from the platform's list and heartbeats."""

import threading
from typing import Literal

from pydantic.dataclasses import dataclass

from catkinknot.model import Clock, SystemClock

from ._listing import ListedInstance

__all__ = ["Heartbeat", "MembershipView", "PeerView"]

IN_ZONE_PERIOD_S = 0.5
"""Heartbeat period between instances of one zone."""

CROSS_ZONE_PERIOD_S = 8.0
"""Heartbeat period between instances of different zones.

Changes are announced at once, and a closed connection is detected without
heartbeats, so these heartbeats only confirm the known state.
"""

_MAX_MISSED_HEARTBEATS = 4
"""Heartbeat periods without a heartbeat after which an instance is unreachable."""


@dataclass(frozen=True)
class Heartbeat:
    """Heartbeat of an instance with its state.

    Attributes:
        instance: The sender's name.
        boot: Identifier of the sender's lifetime.
        zone: The sender's availability zone.
        state: Whether the sender accepts new work (live) or is leaving.
        holds: The epoch under which the sender schedules its zone, empty if
            it does not.
        config_version: The version of the sender's current configuration.
        log_offset: The first log offset that the sender has not read.
        log_silent_s: Seconds since the log last responded to the sender, -1
            for never.
        free_accelerators: Free accelerators in the zone that the sender
            schedules.
        sent: Sequence number of the sender's heartbeats.
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
    """State of one other instance.

    Attributes:
        listed: The instance's entry in the platform's list.
        heartbeat: The newest heartbeat, None before the first.
        last_heartbeat_s: Clock time when the newest heartbeat arrived.
        reachable: Whether heartbeats arrive regularly.
        leaving: Whether the instance accepts no new work according to its
            heartbeat or the list.
    """

    listed: ListedInstance
    heartbeat: Heartbeat | None
    last_heartbeat_s: float
    reachable: bool
    leaving: bool

    @property
    def usable(self) -> bool:
        """Whether new work may be forwarded to the instance."""
        return self.reachable and not self.leaving


class MembershipView:
    """The other instances, and which of them accept work."""

    def __init__(self, instance: str, zone: str, *, clock: Clock | None = None) -> None:
        """Start without any other instance.

        Args:
            instance: The name of this instance.
            zone: The availability zone of this instance.
            clock: The clock, by default the system's.
        """
        self._instance = instance
        self._zone = zone
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._listed: dict[str, ListedInstance] = {}
        self._heartbeats: dict[str, tuple[float, Heartbeat]] = {}
        self._list_read_at_s: float | None = None

    def apply_list(self, listed: list[ListedInstance]) -> None:
        """Replace the list, and forget unlisted instances that are unreachable.

        Args:
            listed: All instances that the platform lists.
        """
        with self._lock:
            self._listed = {item.name: item for item in listed if item.name != self._instance}
            self._list_read_at_s = self._clock.now()
            for name in [name for name in self._heartbeats if name not in self._listed]:
                if not self._is_reachable(name):
                    del self._heartbeats[name]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store an instance's heartbeat, unless it is out of date or a duplicate.

        Args:
            heartbeat: The received heartbeat.
        """
        with self._lock:
            _, known = self._heartbeats.get(heartbeat.instance, (0.0, None))
            same_lifetime = known is not None and known.boot == heartbeat.boot
            if same_lifetime and heartbeat.sent <= known.sent:
                return
            self._heartbeats[heartbeat.instance] = (self._clock.now(), heartbeat)

    def mark_remote_unreachable(self, name: str) -> None:
        """Treat an instance of another zone as unreachable until its next heartbeat.

        Instances of this zone are judged by their heartbeats alone, because
        one lost connection must not cause a take-over.

        Args:
            name: The instance whose connection was lost.
        """
        with self._lock:
            listed = self._listed.get(name)
            if listed is not None and listed.zone != self._zone:
                self._heartbeats.pop(name, None)

    def list_age_s(self) -> float | None:
        """Return the seconds since the list was last read, None if it never was."""
        with self._lock:
            return (
                None if self._list_read_at_s is None else self._clock.now() - self._list_read_at_s
            )

    def entries(self) -> list[PeerView]:
        """Return the other entry instances, sorted by name."""
        with self._lock:
            names = sorted(name for name, item in self._listed.items() if item.role == "entry")
            return [self._view(name) for name in names]

    def entry(self, name: str) -> PeerView | None:
        """Return the state of one entry instance, or None if it is not listed."""
        with self._lock:
            listed = self._listed.get(name)
            return self._view(name) if listed and listed.role == "entry" else None

    def backends(self, zone: str) -> list[ListedInstance]:
        """Return the backend servers of a zone, sorted by name."""
        with self._lock:
            found = [i for i in self._listed.values() if i.role == "backend" and i.zone == zone]
            return sorted(found, key=lambda item: item.name)

    def holder_of(self, zone: str) -> PeerView | None:
        """Return the reachable instance that reports that it schedules a zone.

        If several report so, the one with the highest epoch is returned, as it
        has superseded the others.
        """
        holders = [
            peer
            for peer in self.entries()
            if peer.reachable and peer.heartbeat.zone == zone and peer.heartbeat.holds
        ]
        return max(holders, key=_epoch, default=None)

    def rank_in_zone(self) -> int:
        """Return the number of usable instances of this zone that sort before this one."""
        return sum(
            1
            for peer in self.entries()
            if peer.usable and peer.listed.zone == self._zone and peer.listed.name < self._instance
        )

    def _view(self, name: str) -> PeerView:
        """Return the state of one listed instance."""
        listed = self._listed[name]
        last_heartbeat_s, heartbeat = self._heartbeats.get(name, (0.0, None))
        leaving = listed.state == "leaving"
        if heartbeat is not None:
            leaving = leaving or heartbeat.state == "leaving"
        return PeerView(listed, heartbeat, last_heartbeat_s, self._is_reachable(name), leaving)

    def _is_reachable(self, name: str) -> bool:
        """Return whether heartbeats of an instance arrive regularly."""
        if name not in self._heartbeats:
            return False
        last_heartbeat_s, heartbeat = self._heartbeats[name]
        period_s = IN_ZONE_PERIOD_S if heartbeat.zone == self._zone else CROSS_ZONE_PERIOD_S
        return self._clock.now() - last_heartbeat_s <= period_s * _MAX_MISSED_HEARTBEATS


def _epoch(peer: PeerView) -> tuple[int, ...]:
    """Return the epoch that a peer reports to hold."""
    return tuple(int(part) for part in peer.heartbeat.holds.split("."))
