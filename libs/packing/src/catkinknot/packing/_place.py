"""Choose servers for tasks of one step."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from catkinknot.jobs import Resources

from ._capacity import Occupant, ServerCapacity

__all__ = ["OccupantGroups", "Placement", "Request", "place", "place_by_preemption"]


@dataclass(frozen=True, slots=True)
class Request:
    """Ask for servers for the waiting tasks of a step.

    Attributes:
        step: The occurrence of a step.
        need: What each task takes.
        indexes: The tasks that wait.
        service: The pool they must run in.
        priority: Of their queue.
        guaranteed: Whether their workspace's guarantee covers them.
        whole: Whether all of them must be placed, or none.
        one_rack: Whether they must share a rack.
        near_rack: The only rack to use, empty for any.
        max_per_server: Most tasks of the step on a server, 0 for no limit.
        usable: The rooms that may take them.
    """

    step: str
    need: Resources
    indexes: tuple[int, ...]
    service: str
    priority: int
    guaranteed: bool = False
    whole: bool = False
    one_rack: bool = False
    near_rack: str = ""
    max_per_server: int = 0
    usable: tuple[ServerCapacity, ...] = ()


@dataclass(slots=True)
class Placement:
    """Say where tasks go, and what has to be stopped first.

    Attributes:
        places: The server's lifetime by index of the task.
        victims: Groups to stop.
        cost_core_s: Work that stopping them throws away.
    """

    places: dict[int, str] = field(default_factory=dict)
    victims: set[str] = field(default_factory=set)
    cost_core_s: float = 0.0


class OccupantGroups:
    """Know everything that runs, by what is stopped together."""

    def __init__(self, rooms: Iterable[ServerCapacity]) -> None:
        """Gather the occupants of all rooms.

        Args:
            rooms: All servers.
        """
        self.members: dict[str, list[tuple[ServerCapacity, Occupant]]] = defaultdict(list)
        self.costs: dict[str, float] = defaultdict(float)
        for room in rooms:
            for occupant in room.occupants.values():
                self.members[occupant.group].append((room, occupant))
                self.costs[occupant.group] += occupant.unsaved_core_s

    def stoppable(self, may: Callable[[Occupant], bool]) -> set[str]:
        """Return the groups of which every member may be stopped."""
        return {
            group
            for group, members in self.members.items()
            if all(may(occupant) for _, occupant in members)
        }


def place(req: Request) -> Placement | None:
    """Return servers that have room now, or None if there are none.

    Servers are filled best fit by accelerators, so that whole servers stay
    free for tasks that need all of one.
    """
    if not req.indexes:
        return None
    if req.one_rack:
        fits = [_fill(req, rack) for rack in _racks(req.usable)]
        whole = [found for found in fits if len(found.places) == len(req.indexes)]
        return min(whole, key=lambda found: _spare(req, found), default=None)
    found = _fill(req, req.usable)
    short = len(found.places) < len(req.indexes)
    return None if not found.places or (req.whole and short) else found


def place_by_preemption(req: Request, groups: OccupantGroups) -> Placement | None:
    """Return servers for all tasks after stopping others, or None.

    Args:
        req: What is asked for.
        groups: Everything that runs, by what is stopped together.
    """
    pools = _racks(req.usable) if req.one_rack else [list(req.usable)]
    found = [_evict(req, rooms, groups) for rooms in pools]
    return min(
        (one for one in found if one is not None), key=lambda one: one.cost_core_s, default=None
    )


def _racks(rooms: Iterable[ServerCapacity]) -> list[list[ServerCapacity]]:
    """Group rooms by their rack."""
    racks: dict[str, list[ServerCapacity]] = defaultdict(list)
    for room in rooms:
        racks[room.rack].append(room)
    return list(racks.values())


def _slots(req: Request, room: ServerCapacity, free: Resources) -> int:
    """Return how many tasks of a step a room can take."""
    slots = req.need.max_count_in(free)
    if req.max_per_server:
        slots = min(slots, req.max_per_server - room.count_of(req.step))
    return max(0, slots)


def _fill(req: Request, rooms: Iterable[ServerCapacity]) -> Placement:
    """Place as many tasks as fit, fullest servers first."""
    spaces = [(room.free(excluding=req.step), room) for room in rooms]
    spaces.sort(key=lambda one: (one[0].accelerators, one[0].memory_mb, one[1].server))
    found = Placement()
    left = list(req.indexes)
    for free, room in spaces:
        for _ in range(min(len(left), _slots(req, room, free))):
            found.places[left.pop(0)] = room.server
        if not left:
            break
    return found


def _spare(req: Request, found: Placement) -> int:
    """Return the accelerators that stay free in the racks of a placement."""
    used = set(found.places.values())
    return sum(room.free().accelerators for room in req.usable if room.server in used)


def _may_stop(req: Request) -> Callable[[Occupant], bool]:
    """Return which occupants may be stopped for a request."""

    def may(occupant: Occupant) -> bool:
        if occupant.pinned:
            return False
        if occupant.priority != req.priority:
            return occupant.priority > req.priority
        return req.guaranteed and not occupant.guaranteed

    return may


def _evict(req: Request, rooms: list[ServerCapacity], groups: OccupantGroups) -> Placement | None:
    """Choose the servers whose occupants cost least to stop, cheapest first.

    Each server is weighed once; when its turn comes it is weighed again, as
    gangs that were stopped for others have made room on it meanwhile.
    """
    allowed = groups.stoppable(_may_stop(req))
    free = {room.server: room.free(excluding=req.step) for room in rooms}
    found = Placement()
    left = list(req.indexes)
    offers = [_offer(req, room, free, groups, allowed) for room in rooms]
    ranked = sorted((one for one in offers if one is not None), key=lambda one: one.price)
    for first in ranked:
        if not left:
            break
        best = _offer(req, first.room, free, groups, allowed - found.victims)
        if best is None:
            continue
        for group in best.victims - found.victims:
            found.cost_core_s += groups.costs[group]
            for room, occupant in groups.members[group]:
                if room.server in free:
                    free[room.server] += occupant.need
        found.victims |= best.victims
        for _ in range(min(len(left), best.slots)):
            found.places[left.pop(0)] = best.room.server
    short = bool(left) and req.whole
    return None if short or not found.places else found


@dataclass(slots=True)
class _Offer:
    """Say what one server can take, and at which price."""

    room: ServerCapacity
    slots: int
    victims: set[str]
    price: float


def _offer(
    req: Request,
    room: ServerCapacity,
    free: dict[str, Resources],
    groups: OccupantGroups,
    allowed: set[str],
) -> _Offer | None:
    """Return how a room can take the most tasks with the fewest stops."""
    space = free[room.server]
    victims: set[str] = set()
    slots = _slots(req, room, space)
    cost = 0.0
    wanted = len(req.indexes)
    own = [occupant for occupant in room.occupants.values() if occupant.group in allowed]
    own.sort(key=lambda occupant: (groups.costs[occupant.group], -occupant.need.accelerators))
    for occupant in own:
        if slots >= wanted:
            break
        space += occupant.need
        if occupant.group not in victims:
            victims.add(occupant.group)
            cost += groups.costs[occupant.group]
        slots = _slots(req, room, space)
    if not slots:
        return None
    return _Offer(room, slots, victims, cost / min(slots, wanted))
