"""Decide when this instance schedules its availability zone."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from catkinknot.model import Clock, SystemClock

from ._view import MembershipView, PeerView

__all__ = ["ClaimResult", "TermClaims", "TermView", "ZoneLease", "ZoneLeaseManager"]

_RANK_PAUSE_S = 0.4
"""Let instances of a lower rank claim this much earlier."""

_FIRST_PAUSE_S = 1.0
"""After its own start an instance listens this long before it claims."""

_LOG_OUT_S = 1.5
"""Take the zone without the log only when the log has been out this long."""

_AFTER_LOSS_S = 2.0
"""After a lost claim, wait this long before the next."""


class ClaimResult(Enum):
    """Say what became of a claim."""

    WON = "won"
    LOST = "lost"
    LOG_DOWN = "log out"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class TermView:
    """Say who schedules the zone by the log.

    Attributes:
        term: The term in force, 0 for none.
        holder: Its winner, as ``instance:boot``.
    """

    term: int
    holder: str


class TermClaims(Protocol):
    """Read and claim terms on the platform's log."""

    def current_term(self) -> TermView:
        """Return the term in force as far as the log was read."""

    def claim(self, term: int, holder: str) -> ClaimResult:
        """Claim a term and wait for the verdict."""

    def unavailable_for_s(self) -> float:
        """Return for how long the log has not answered, 0 when it does."""


@dataclass(frozen=True)
class ZoneLease:
    """Say under which epoch this instance schedules the zone.

    Attributes:
        term: The term won on the log.
        bump: Higher than 0 when the zone was taken while the log was out.
        since_s: Since when, on this machine's clock.
    """

    term: int
    bump: int
    since_s: float

    def __str__(self) -> str:
        """Write the epoch as ``term.bump``."""
        return f"{self.term}.{self.bump}"


class ZoneLeaseManager:
    """Claim the zone when nobody else schedules it, and give it up in time.

    Nothing that must hold rests on this alone: two instances may believe for
    a while that they schedule a zone, and the backend servers' leases decide.
    """

    def __init__(
        self,
        holder: str,
        view: MembershipView,
        claims: TermClaims,
        *,
        zone: str,
        clock: Clock | None = None,
        changed: Callable[[ZoneLease | None], None] = lambda zone_lease: None,
    ) -> None:
        """Start without the zone.

        Args:
            holder: This instance and boot, as ``instance:boot``.
            view: The other instances.
            claims: Terms on the log.
            zone: The availability zone.
            clock: Where time comes from.
            changed: Called after each change with what is held now.
        """
        self._holder = holder
        self._view = view
        self._claims = claims
        self._zone = zone
        self._clock = clock or SystemClock()
        self._changed = changed
        self._lock = threading.Lock()
        self._zone_lease: ZoneLease | None = None
        self._leaving = False
        self._lost_term = 0
        self._vacant_since_s: float | None = None
        self._not_before_s = self._clock.now() + _FIRST_PAUSE_S

    def zone_lease(self) -> ZoneLease | None:
        """Return what this instance holds, or None."""
        with self._lock:
            return self._zone_lease

    def leave(self) -> None:
        """Never claim again; what is held goes to the next claim on the log."""
        self._leaving = True

    def deposed(self) -> None:
        """Give the zone up, as a backend server has a newer holder."""
        zone_lease = self.zone_lease()
        if zone_lease is not None:
            self._lost_term = max(self._lost_term, zone_lease.term)
        self._not_before_s = self._clock.now() + _AFTER_LOSS_S
        self._set(None)

    def release(self) -> None:
        """Give the zone up at the end of a shutdown."""
        self._set(None)

    def step(self) -> None:
        """Look at the situation once and act."""
        current_term = self._claims.current_term()
        if self._won_by_me(current_term):
            return
        zone_lease = self.zone_lease()
        if zone_lease is not None and current_term.term > zone_lease.term:
            self.deposed()
            return
        if zone_lease is not None:
            if zone_lease.bump and self._claims.unavailable_for_s() == 0.0:
                self._claim_on_log(current_term)
            return
        if self._leaving or not self._vacant(current_term):
            return
        self._take(current_term)

    def _won_by_me(self, current_term: TermView) -> bool:
        """Begin to hold a term that the log gives to this instance."""
        if current_term.holder != self._holder or current_term.term <= self._lost_term:
            return False
        zone_lease = self.zone_lease()
        if zone_lease is None or (zone_lease.term, zone_lease.bump) != (current_term.term, 0):
            self._set(ZoneLease(current_term.term, 0, self._clock.now()))
        return True

    def _vacant(self, current_term: TermView) -> bool:
        """Tell whether nobody has scheduled the zone for long enough."""
        now = self._clock.now()
        other = self._view.holder_of(self._zone) or self._winner(current_term)
        if other is not None and other.usable:
            self._vacant_since_s = None
            return False
        if self._vacant_since_s is None:
            self._vacant_since_s = now
        pause_s = self._view.rank_in_zone() * _RANK_PAUSE_S
        return now >= self._vacant_since_s + pause_s and now >= self._not_before_s

    def _winner(self, current_term: TermView) -> PeerView | None:
        """Return the log's holder if that very run of it is still heard."""
        name, _, boot = current_term.holder.partition(":")
        peer = self._view.entry(name)
        if peer is None or not peer.reachable or peer.heartbeat.boot != boot:
            return None
        return peer

    def _take(self, current_term: TermView) -> None:
        """Claim the zone on the log, or without it when it is out."""
        out_s = self._claims.unavailable_for_s()
        if out_s >= _LOG_OUT_S:
            bump = int(self._clock.wall())
            self._set(ZoneLease(current_term.term, bump, self._clock.now()))
        elif out_s == 0.0:
            self._claim_on_log(current_term)

    def _claim_on_log(self, current_term: TermView) -> None:
        """Claim the next term."""
        answer = self._claims.claim(current_term.term + 1, self._holder)
        if answer is ClaimResult.WON:
            self._vacant_since_s = None
            self._set(ZoneLease(current_term.term + 1, 0, self._clock.now()))
        elif answer is ClaimResult.LOST:
            self._not_before_s = self._clock.now() + _AFTER_LOSS_S
            if self.zone_lease() is not None:
                self._set(None)

    def _set(self, zone_lease: ZoneLease | None) -> None:
        """Change what is held and tell the owner."""
        with self._lock:
            if self._zone_lease == zone_lease:
                return
            self._zone_lease = zone_lease
        self._changed(zone_lease)
