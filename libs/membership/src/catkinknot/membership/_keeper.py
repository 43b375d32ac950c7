"""Lease of this instance on its availability zone."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from catkinknot.model import Clock, SystemClock

from ._view import MembershipView, PeerView

__all__ = ["ClaimResult", "TermClaims", "TermView", "ZoneLease", "ZoneLeaseManager"]

_CLAIM_DELAY_PER_RANK_S = 0.4
"""Delay of a claim per rank, so that instances of lower ranks claim first."""

_FIRST_CLAIM_DELAY_S = 1.0
"""Time after its start during which an instance only listens for heartbeats."""

_MIN_LOG_OUTAGE_S = 1.5
"""Outage of the log after which a zone may be taken over without it."""

_CLAIM_RETRY_DELAY_S = 2.0
"""Delay of the next claim after a lost claim or the loss of the zone."""


class ClaimResult(Enum):
    """Result of a claim on a term."""

    WON = "won"
    LOST = "lost"
    LOG_DOWN = "log down"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class TermView:
    """Current term of the zone as recorded on the log.

    Attributes:
        term: The current term, 0 before the first.
        holder: The winner of the term, as ``instance:boot``.
    """

    term: int
    holder: str


class TermClaims(Protocol):
    """Access to the zone's terms on the platform's log."""

    def current_term(self) -> TermView:
        """Return the current term according to the part of the log read so far."""

    def claim(self, term: int, holder: str) -> ClaimResult:
        """Claim a term and wait for the result."""

    def unavailable_for_s(self) -> float:
        """Return the seconds for which the log has been unavailable, 0 if it is available."""


@dataclass(frozen=True)
class ZoneLease:
    """Epoch under which this instance schedules the zone.

    Attributes:
        term: The term won on the log.
        bump: Above 0 if the zone was taken over while the log was
            unavailable: the time of the take-over in seconds since 1970, so
            that later take-overs within a term have higher epochs.
        since_s: When the epoch began, in seconds of the local clock.
    """

    term: int
    bump: int
    since_s: float

    def __str__(self) -> str:
        """Return the epoch as ``term.bump``."""
        return f"{self.term}.{self.bump}"


class ZoneLeaseManager:
    """Claims the zone while no other instance schedules it, and releases it in time.

    Correctness does not depend on this class alone: two instances may
    believe for a while that they schedule the same zone, and the leases on
    the backend servers decide between them.
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
        """Start without a lease.

        Args:
            holder: This instance and its lifetime, as ``instance:boot``.
            view: The other instances.
            claims: The terms on the log.
            zone: The availability zone.
            clock: The clock, by default the system's.
            changed: Called after each change with the lease, None for none.
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
        self._next_claim_at_s = self._clock.now() + _FIRST_CLAIM_DELAY_S

    def zone_lease(self) -> ZoneLease | None:
        """Return the lease that this instance holds, or None."""
        with self._lock:
            return self._zone_lease

    def leave(self) -> None:
        """Stop claiming; a held zone passes to the next claim on the log."""
        self._leaving = True

    def deposed(self) -> None:
        """Release the zone because a backend server or the log has a newer holder.

        The instance does not resume the lost term although the log still
        names it as the winner.
        """
        zone_lease = self.zone_lease()
        if zone_lease is not None:
            self._lost_term = max(self._lost_term, zone_lease.term)
        self._next_claim_at_s = self._clock.now() + _CLAIM_RETRY_DELAY_S
        self._set_zone_lease(None)

    def release(self) -> None:
        """Release the zone at the end of a shutdown."""
        self._set_zone_lease(None)

    def step(self) -> None:
        """Claim, keep or release the zone according to the log and the other instances."""
        current_term = self._claims.current_term()
        if self._hold_if_won(current_term):
            return
        zone_lease = self.zone_lease()
        if zone_lease is not None and current_term.term > zone_lease.term:
            self.deposed()
            return
        if zone_lease is not None:
            if zone_lease.bump and self._claims.unavailable_for_s() == 0.0:
                self._claim_on_log(current_term)
            return
        if self._leaving or not self._is_vacant(current_term):
            return
        self._take_over(current_term)

    def _hold_if_won(self, current_term: TermView) -> bool:
        """Hold the current term if this instance won it and was not deposed in it.

        Returns:
            Whether this instance holds the current term.
        """
        if current_term.holder != self._holder or current_term.term <= self._lost_term:
            return False
        zone_lease = self.zone_lease()
        if zone_lease is None or (zone_lease.term, zone_lease.bump) != (current_term.term, 0):
            self._set_zone_lease(ZoneLease(current_term.term, 0, self._clock.now()))
        return True

    def _is_vacant(self, current_term: TermView) -> bool:
        """Return whether the zone has been without a holder for long enough to claim it."""
        now = self._clock.now()
        other = self._view.holder_of(self._zone) or self._reachable_winner(current_term)
        if other is not None and other.usable:
            self._vacant_since_s = None
            return False
        if self._vacant_since_s is None:
            self._vacant_since_s = now
        delay_s = self._view.rank_in_zone() * _CLAIM_DELAY_PER_RANK_S
        return now >= self._vacant_since_s + delay_s and now >= self._next_claim_at_s

    def _reachable_winner(self, current_term: TermView) -> PeerView | None:
        """Return the term's holder if it is reachable and has not restarted since."""
        name, _, boot = current_term.holder.partition(":")
        peer = self._view.entry(name)
        if peer is None or not peer.reachable or peer.heartbeat.boot != boot:
            return None
        return peer

    def _take_over(self, current_term: TermView) -> None:
        """Claim the zone on the log, or without the log while it is unavailable."""
        outage_s = self._claims.unavailable_for_s()
        if outage_s >= _MIN_LOG_OUTAGE_S:
            bump = int(self._clock.wall())
            self._set_zone_lease(ZoneLease(current_term.term, bump, self._clock.now()))
        elif outage_s == 0.0:
            self._claim_on_log(current_term)

    def _claim_on_log(self, current_term: TermView) -> None:
        """Claim the next term on the log."""
        result = self._claims.claim(current_term.term + 1, self._holder)
        if result is ClaimResult.WON:
            self._vacant_since_s = None
            self._set_zone_lease(ZoneLease(current_term.term + 1, 0, self._clock.now()))
        elif result is ClaimResult.LOST:
            self._next_claim_at_s = self._clock.now() + _CLAIM_RETRY_DELAY_S
            if self.zone_lease() is not None:
                self._set_zone_lease(None)

    def _set_zone_lease(self, zone_lease: ZoneLease | None) -> None:
        """Change the lease and report the change to the owner."""
        with self._lock:
            if self._zone_lease == zone_lease:
                return
            self._zone_lease = zone_lease
        self._changed(zone_lease)
