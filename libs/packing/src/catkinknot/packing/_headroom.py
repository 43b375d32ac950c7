"""Reserve servers for urgent work that is likely to arrive."""

from collections import defaultdict, deque
from collections.abc import Iterable

from catkinknot.jobs import Resources

from ._capacity import ServerCapacity

__all__ = ["Demand", "is_half_used", "select_clear", "select_headroom"]

DEMAND_WINDOW_S = 20.0
"""Length of the sliding window over which the peak of urgent demand is taken."""

MIN_HEADROOM_SHARE = 0.15
"""Least share of all accelerators that is reserved for urgent work.

So much is also kept free of resumable runs: a stop takes a few tenths of a
second, which short urgent jobs don't have.
"""

MAX_HEADROOM_SHARE = 0.4
"""Largest share that is reserved for urgent work; other work always has the rest."""


class Demand:
    """Sliding-window maximum of the accelerators that urgent work needs."""

    def __init__(self) -> None:
        """Start without recorded demand."""
        self._peaks: deque[tuple[float, int]] = deque()

    def record(self, now_s: float, accelerators: int) -> None:
        """Record the present demand.

        Args:
            now_s: The present time.
            accelerators: Accelerators that urgent work uses and waits for.
        """
        while self._peaks and self._peaks[-1][1] <= accelerators:
            self._peaks.pop()
        self._peaks.append((now_s, accelerators))
        while self._peaks[0][0] < now_s - DEMAND_WINDOW_S:
            self._peaks.popleft()

    @property
    def peak(self) -> int:
        """Highest demand within the window."""
        return self._peaks[0][1] if self._peaks else 0


def select_headroom(capacities: Iterable[ServerCapacity], peak: int) -> set[str]:
    """Return the servers on which only urgent work may start.

    Whole racks are reserved, starting with the one that offers urgent work the
    most accelerators, so that a gang that needs a single rack finds one. What
    urgent work already uses on a server counts as reserved, so fewer free
    accelerators are reserved while it is busy. A small pool may have no
    reserved server, since the largest share is never exceeded.

    Args:
        capacities: The servers of one pool.
        peak: Accelerators that urgent work needed at its recent peak.
    """
    racks: dict[str, list[tuple[int, ServerCapacity]]] = defaultdict(list)
    total = 0
    for capacity in capacities:
        total += capacity.capacity.accelerators
        racks[capacity.rack].append((_accelerators_for_urgent(capacity), capacity))
    remaining = min(MAX_HEADROOM_SHARE * total, max(MIN_HEADROOM_SHARE * total, peak))
    selected = set()
    for members in sorted(racks.values(), key=_rack_order):
        for urgent, capacity in sorted(members, key=lambda member: (-member[0], member[1].server)):
            if 0 < urgent <= remaining:
                selected.add(capacity.server)
                remaining -= urgent
    return selected


def select_clear(capacities: Iterable[ServerCapacity], headroom: set[str]) -> set[str]:
    """Return the servers of the headroom on which no resumable run may start either.

    Args:
        capacities: The servers of one pool.
        headroom: Servers that are reserved for urgent work.
    """
    members = list(capacities)
    remaining = MIN_HEADROOM_SHARE * sum(capacity.capacity.accelerators for capacity in members)
    reserved = [capacity for capacity in members if capacity.server in headroom]
    selected = set()
    for capacity in sorted(reserved, key=lambda c: (-c.free().accelerators, c.rack, c.server)):
        free = capacity.free().accelerators
        if not 0 < free <= remaining:
            break
        selected.add(capacity.server)
        remaining -= free
    return selected


def is_half_used(capacities: Iterable[ServerCapacity]) -> bool:
    """Return whether at least half of a pool's processors, memory or accelerators is used."""
    total, used = Resources(), Resources()
    for capacity in capacities:
        total += capacity.capacity
        used += capacity.used
    return any(2 * amount >= limit for amount, limit in zip(used, total, strict=True) if limit)


def _rack_order(members: list[tuple[int, ServerCapacity]]) -> tuple[int, str]:
    """Return the sort key that puts the rack with most accelerators for urgent work first."""
    return -sum(urgent for urgent, _ in members), members[0][1].rack


def _accelerators_for_urgent(capacity: ServerCapacity) -> int:
    """Return the accelerators that urgent work uses or could use within the time of a stop."""
    occupants = capacity.occupants.values()
    used = sum(o.need.accelerators for o in occupants if o.priority == 0)
    if not capacity.schedulable:
        return used
    resumable = sum(o.need.accelerators for o in occupants if o.priority and o.resumable)
    return used + resumable + max(0, capacity.free().accelerators)
