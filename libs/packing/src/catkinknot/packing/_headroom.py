"""Keep servers clear for urgent work that is likely to come."""

from collections import defaultdict, deque
from collections.abc import Iterable

from catkinknot.jobs import Resources

from ._capacity import ServerCapacity

__all__ = ["Demand", "half_used", "select_headroom"]

MEMORY_S = 20.0
"""How long urgent demand is remembered."""

SPARE = 1.25
"""Accelerators kept for urgent work, as a multiple of the highest demand."""

LEAST_SHARE = 0.15
"""Share of all accelerators that is kept for urgent work at least."""

MOST_SHARE = 0.4
"""The same at most; other work always has the rest."""


class Demand:
    """Remember the highest number of accelerators that urgent work needed lately."""

    def __init__(self) -> None:
        """Begin with no demand."""
        self._peaks: deque[tuple[float, int]] = deque()

    def record(self, now_s: float, accelerators: int) -> None:
        """Take the demand of this moment.

        Args:
            now_s: The present time.
            accelerators: What urgent work uses and waits for.
        """
        while self._peaks and self._peaks[-1][1] <= accelerators:
            self._peaks.pop()
        self._peaks.append((now_s, accelerators))
        while self._peaks[0][0] < now_s - MEMORY_S:
            self._peaks.popleft()

    @property
    def peak(self) -> int:
        """Highest demand that is remembered."""
        return self._peaks[0][1] if self._peaks else 0


def select_headroom(rooms: Iterable[ServerCapacity], peak: int) -> set[str]:
    """Return the servers on which only urgent work may start.

    Whole racks are kept, those first in which urgent work can have most, so
    that a gang that needs one rack finds it. What urgent work has on a server
    counts as kept, so the rest shrinks while it is busy. A small pool may keep
    none: the share is never exceeded.

    Args:
        rooms: The servers of one pool.
        peak: Accelerators that urgent work needed at its busiest.
    """
    racks: dict[str, list[tuple[int, ServerCapacity]]] = defaultdict(list)
    total = 0
    for room in rooms:
        total += room.capacity.accelerators
        racks[room.rack].append((_urgent_share(room), room))
    left = min(MOST_SHARE * total, max(LEAST_SHARE * total, SPARE * peak))
    kept = set()
    for members in sorted(racks.values(), key=_rack_order):
        for share, room in sorted(members, key=lambda one: (-one[0], one[1].server)):
            if 0 < share <= left:
                kept.add(room.server)
                left -= share
    return kept


def half_used(rooms: Iterable[ServerCapacity]) -> bool:
    """Tell whether half of a pool's processors, memory or accelerators is taken."""
    capacity, used = Resources(), Resources()
    for room in rooms:
        capacity += room.capacity
        used += room.used
    return any(2 * mine >= all_ for mine, all_ in zip(used, capacity, strict=True) if all_)


def _rack_order(members: list[tuple[int, ServerCapacity]]) -> tuple[int, str]:
    """Sort the rack with most for urgent work to the front."""
    return -sum(share for share, _ in members), members[0][1].rack


def _urgent_share(room: ServerCapacity) -> int:
    """Return the accelerators that urgent work has or can have at once."""
    held = sum(o.need.accelerators for o in room.occupants.values() if o.priority == 0)
    return held + max(0, room.free().accelerators) if room.schedulable else held
