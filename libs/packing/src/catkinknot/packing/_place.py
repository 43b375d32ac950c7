"""Choose servers for the tasks of one step."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from catkinknot.jobs import Resources

from ._capacity import Occupant, ServerCapacity

__all__ = ["OccupantGroups", "Placement", "Request", "place", "place_by_preemption"]


@dataclass(frozen=True, slots=True)
class Request:
    """Request for servers for the waiting tasks of a step.

    Attributes:
        step: Key of the step's occurrence.
        need: Resources that each task needs.
        indexes: Indexes of the tasks to place.
        service: Pool that the tasks must run in.
        priority: Priority of the job's queue.
        guaranteed: Whether the job is covered by its workspace's guarantee.
        all_or_none: Whether either all of the tasks are placed or none.
        one_rack: Whether the tasks must share a rack.
        near_rack: The only rack to use, empty for any.
        max_per_server: Most tasks of the step on one server, 0 for no limit.
        usable: Servers that may run the tasks.
    """

    step: str
    need: Resources
    indexes: tuple[int, ...]
    service: str
    priority: int
    guaranteed: bool = False
    all_or_none: bool = False
    one_rack: bool = False
    near_rack: str = ""
    max_per_server: int = 0
    usable: tuple[ServerCapacity, ...] = ()


@dataclass(slots=True)
class Placement:
    """Servers chosen for tasks, and the victims to stop first.

    Attributes:
        places: Lifetime of the chosen server, by index of the task.
        victims: Occupant groups to preempt.
        cost_core_s: Work lost by the preemption, in core-seconds.
    """

    places: dict[int, str] = field(default_factory=dict)
    victims: set[str] = field(default_factory=set)
    cost_core_s: float = 0.0


class OccupantGroups:
    """All occupants, by the group that is preempted together."""

    def __init__(self, capacities: Iterable[ServerCapacity]) -> None:
        """Group the occupants of all servers.

        Args:
            capacities: All servers.
        """
        self.members: dict[str, list[tuple[ServerCapacity, Occupant]]] = defaultdict(list)
        self.costs: dict[str, float] = defaultdict(float)
        for capacity in capacities:
            for occupant in capacity.occupants.values():
                self.members[occupant.group].append((capacity, occupant))
                self.costs[occupant.group] += occupant.unsaved_core_s

    def preemptible(self, allows: Callable[[Occupant], bool]) -> set[str]:
        """Return the groups of which every member may be preempted."""
        return {
            group
            for group, members in self.members.items()
            if all(allows(occupant) for _, occupant in members)
        }


def place(req: Request) -> Placement | None:
    """Return servers with enough free capacity, or None if there are none.

    Servers are filled best fit by accelerators, so that whole servers stay
    free for tasks that need all of one.
    """
    if not req.indexes:
        return None
    if req.one_rack:
        placements = [_fill(req, rack) for rack in _group_by_rack(req.usable)]
        complete = [found for found in placements if len(found.places) == len(req.indexes)]
        return min(complete, key=lambda found: _spare_accelerators(req, found), default=None)
    placement = _fill(req, req.usable)
    incomplete = len(placement.places) < len(req.indexes)
    return None if not placement.places or (req.all_or_none and incomplete) else placement


def place_by_preemption(req: Request, groups: OccupantGroups) -> Placement | None:
    """Return servers for the tasks and the victims to preempt there, or None.

    Args:
        req: The request.
        groups: All occupants, by the group that is preempted together.
    """
    pools = _group_by_rack(req.usable) if req.one_rack else [list(req.usable)]
    placements = [_place_with_victims(req, capacities, groups) for capacities in pools]
    return min(
        (placement for placement in placements if placement is not None),
        key=lambda placement: placement.cost_core_s,
        default=None,
    )


def _group_by_rack(capacities: Iterable[ServerCapacity]) -> list[list[ServerCapacity]]:
    """Group servers by rack."""
    racks: dict[str, list[ServerCapacity]] = defaultdict(list)
    for capacity in capacities:
        racks[capacity.rack].append(capacity)
    return list(racks.values())


def _slots(req: Request, capacity: ServerCapacity, free: Resources) -> int:
    """Return how many tasks of the request fit into a server's free resources."""
    slots = req.need.max_count_in(free)
    if req.max_per_server:
        slots = min(slots, req.max_per_server - capacity.count_of(req.step))
    return max(0, slots)


def _fill(req: Request, capacities: Iterable[ServerCapacity]) -> Placement:
    """Place as many tasks as fit, on the fullest servers first."""
    by_free = [(capacity.free(excluding=req.step), capacity) for capacity in capacities]
    by_free.sort(key=lambda pair: (pair[0].accelerators, pair[0].memory_mb, pair[1].server))
    placement = Placement()
    remaining = list(req.indexes)
    for free, capacity in by_free:
        for _ in range(min(len(remaining), _slots(req, capacity, free))):
            placement.places[remaining.pop(0)] = capacity.server
        if not remaining:
            break
    return placement


def _spare_accelerators(req: Request, placement: Placement) -> int:
    """Return the accelerators that are now free on the servers of a placement."""
    used = set(placement.places.values())
    return sum(capacity.free().accelerators for capacity in req.usable if capacity.server in used)


def _preemption_rule(req: Request) -> Callable[[Occupant], bool]:
    """Return the predicate for occupants that may be preempted for a request."""

    def allows(occupant: Occupant) -> bool:
        if occupant.pinned:
            return False
        if occupant.priority != req.priority:
            return occupant.priority > req.priority
        return req.guaranteed and not occupant.guaranteed

    return allows


def _place_with_victims(
    req: Request, capacities: list[ServerCapacity], groups: OccupantGroups
) -> Placement | None:
    """Place tasks on the servers whose victims cost least, cheapest first.

    The cost of each server is estimated once for the order. It is estimated
    again at the server's turn, since gangs preempted for earlier servers may
    have freed resources on it meanwhile.
    """
    allowed = groups.preemptible(_preemption_rule(req))
    free = {capacity.server: capacity.free(excluding=req.step) for capacity in capacities}
    placement = Placement()
    remaining = list(req.indexes)
    offers = [_offer(req, capacity, free, groups, allowed) for capacity in capacities]
    ranked = sorted(
        (offer for offer in offers if offer is not None),
        key=lambda offer: offer.cost_per_task_core_s,
    )
    for estimate in ranked:
        if not remaining:
            break
        offer = _offer(req, estimate.room, free, groups, allowed - placement.victims)
        if offer is None:
            continue
        for group in offer.victims - placement.victims:
            placement.cost_core_s += groups.costs[group]
            for capacity, occupant in groups.members[group]:
                if capacity.server in free:
                    free[capacity.server] += occupant.need
        placement.victims |= offer.victims
        for _ in range(min(len(remaining), offer.slots)):
            placement.places[remaining.pop(0)] = offer.room.server
    incomplete = bool(remaining) and req.all_or_none
    return None if incomplete or not placement.places else placement


@dataclass(slots=True)
class _Offer:
    """Tasks that one server can run after preemption, and the cost of that.

    Attributes:
        room: The server's capacity.
        slots: How many tasks fit.
        victims: Occupant groups to preempt.
        cost_per_task_core_s: Work lost for each task placed, in core-seconds.
    """

    room: ServerCapacity
    slots: int
    victims: set[str]
    cost_per_task_core_s: float


def _offer(
    req: Request,
    capacity: ServerCapacity,
    free: dict[str, Resources],
    groups: OccupantGroups,
    allowed: set[str],
) -> _Offer | None:
    """Return how a server can run the most tasks, preempting the cheapest groups first."""
    available = free[capacity.server]
    victims: set[str] = set()
    slots = _slots(req, capacity, available)
    cost_core_s = 0.0
    wanted = len(req.indexes)
    candidates = [o for o in capacity.occupants.values() if o.group in allowed]
    candidates.sort(key=lambda o: (groups.costs[o.group], -o.need.accelerators))
    for occupant in candidates:
        if slots >= wanted:
            break
        available += occupant.need
        if occupant.group not in victims:
            victims.add(occupant.group)
            cost_core_s += groups.costs[occupant.group]
        slots = _slots(req, capacity, available)
    if not slots:
        return None
    return _Offer(capacity, slots, victims, cost_core_s / min(slots, wanted))
