"""Decide which pending steps get servers next."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum
from math import inf

from catkinknot.jobs import Resources, StepState

from ._capacity import ServerCapacity
from ._headroom import is_half_used
from ._place import OccupantGroups, Placement, Request, place, place_by_preemption

__all__ = ["ExpectedValue", "PendingStep", "guaranteed_jobs", "plan_placements"]

MAX_VICTIM_SEARCHES = 6
"""Searches for victims in one scheduling round; other steps wait for the next round."""

IDLE_POOL_WAIT_S = 1.0
"""Time that a step respects reserved servers while more than half of the pool is idle."""

MAX_RESERVING_GANGS = 3
"""Waiting gangs for which servers are reserved at once."""

MAX_GANG_RESERVED_SHARE = 0.35
"""Largest share of a pool's servers that is reserved for waiting gangs."""


class ExpectedValue(IntEnum):
    """Value that a step can still yield for its caller if it gets servers now."""

    IN_TIME = 0
    LATE = 1
    NOTHING = 2


@dataclass(slots=True)
class PendingStep:
    """Step with tasks that wait for servers.

    Attributes:
        state: State of the step and its tasks.
        ready_s: When this leader first saw the step ready, on the leader's clock.
        due_s: When its occurrence of the job was due, on the leader's clock; None
            stands for `ready_s`. Unlike `ready_s` it outlasts a change of leader.
        guaranteed: Whether the job is covered by its workspace's guarantee.
        prospect: Value that the step can still yield.
        may_preempt: Whether the step has waited long enough to preempt others.
        preemption_limit_core_s: Most work that may be lost by preempting
            others for the step, in core-seconds.
        avoided_servers: Servers that are used only if no other has capacity.
        barred_servers: Those of them that are used only if no other may run the
            step, whether it has capacity or not.
    """

    state: StepState
    ready_s: float
    due_s: float | None = None
    guaranteed: bool = False
    prospect: ExpectedValue = ExpectedValue.IN_TIME
    may_preempt: bool = True
    preemption_limit_core_s: float = float("inf")
    avoided_servers: frozenset[str] = frozenset()
    barred_servers: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple:
        """Sort key that puts the step to serve first at the front."""
        return (
            not self.guaranteed,
            self.prospect is ExpectedValue.NOTHING,
            self.state.job.policy.priority,
            self.prospect,
            self.ready_s if self.due_s is None else self.due_s,
            str(self.state.key),
        )


def guaranteed_jobs(states: Iterable[StepState], guarantees: dict[str, int]) -> set[str]:
    """Return the jobs of priority 0 that are covered by their workspace's guarantee.

    Args:
        states: The steps of jobs that have not ended, oldest job first.
        guarantees: Guaranteed accelerators by workspace.
    """
    widest: dict[str, tuple[str, int]] = {}
    for state in states:
        if state.job.policy.priority:
            continue
        need = state.step.count * state.step.need.accelerators
        widest_so_far = widest.get(state.job.id, ("", 0))[1]
        widest[state.job.id] = (state.job.workspace, max(need, widest_so_far))
    remaining = dict(guarantees)
    covered = set()
    for job, (workspace, need) in widest.items():
        if need <= remaining.get(workspace, 0):
            remaining[workspace] -= need
            covered.add(job)
    return covered


def plan_placements(
    pending: Iterable[PendingStep],
    capacities: list[ServerCapacity],
    now_s: float,
    *,
    urgent_only: frozenset[str] = frozenset(),
    clear: frozenset[str] | None = None,
) -> list[tuple[PendingStep, Placement]]:
    """Choose servers for pending steps, the most urgent first.

    The chosen resources are added to the servers' reservations at once, also
    for a step whose victims have yet to end. The caller turns a reservation
    into occupants or drops it.

    Args:
        pending: The pending steps.
        capacities: All servers.
        now_s: The present time.
        urgent_only: Servers on which only urgent work may start, or work that saves
            its state when it is stopped.
        clear: Those of them on which only urgent work may start, by default all.
    """
    placements = []
    clear = urgent_only if clear is None else clear
    quarantined = {capacity.service for capacity in capacities if capacity.quarantined}
    round_state = _RoundState(OccupantGroups(capacities), urgent_only, clear, quarantined)
    for pending_step in sorted(pending, key=lambda candidate: candidate.order):
        placement = _find_placement(pending_step, capacities, now_s, round_state)
        if placement is None:
            placement = _find_last_resort(pending_step, capacities, now_s, round_state)
        if placement is None:
            _reserve_for_gang(pending_step, capacities, round_state)
            continue
        _reserve_resources(pending_step.state, placement, capacities)
        placements.append((pending_step, placement))
    return placements


@dataclass(slots=True)
class _RoundState:
    """Intermediate results of one scheduling round.

    Attributes:
        groups: All occupants, by the group that is preempted together.
        urgent_only: Servers on which only urgent or resumable work may start.
        clear: Servers on which only urgent work may start.
        quarantined: Pools that have quarantined servers.
        victim_searches: How many searches for victims were made.
        unplaceable: Kinds of tasks that fit on no server; free capacity only
            shrinks during a round.
        failed_gangs: Smallest gang that did not fit, by kind of request; larger
            gangs of that kind do not fit either.
        failed_reservations: Smallest gang for which no servers could be
            reserved, by kind of task.
        idle: Whether more than half of a pool is idle, by pool.
        gang_reserved: Priority of the gang that a server is reserved for, by
            server; tasks with less urgent priority may not start there.
        gang_count: Number of gangs for which servers are reserved.
    """

    groups: OccupantGroups
    urgent_only: frozenset[str]
    clear: frozenset[str]
    quarantined: set[str]
    victim_searches: int = 0
    unplaceable: set[tuple] = field(default_factory=set)
    failed_gangs: dict[tuple, int] = field(default_factory=dict)
    failed_reservations: dict[tuple, int] = field(default_factory=dict)
    idle: dict[str, bool] = field(default_factory=dict)
    gang_reserved: dict[str, int] = field(default_factory=dict)
    gang_count: int = 0

    def is_idle(self, service: str, capacities: list[ServerCapacity]) -> bool:
        """Return whether more than half of a pool is idle."""
        if service not in self.idle:
            self.idle[service] = not is_half_used(c for c in capacities if c.service == service)
        return self.idle[service]


def _find_placement(
    pending_step: PendingStep,
    capacities: list[ServerCapacity],
    now_s: float,
    round_state: _RoundState,
) -> Placement | None:
    """Find servers for one step, by preemption where that is allowed."""
    step, policy = pending_step.state.step, pending_step.state.job.policy
    task_kind = (
        step.allocation,
        policy.service,
        step.labels,
        policy.priority == 0,
        step.checkpoints,
    )
    unconstrained = not (pending_step.avoided_servers or step.data_rack or step.max_per_server)
    if task_kind in round_state.unplaceable and not pending_step.may_preempt:
        return None
    pool = capacities
    if policy.priority and (round_state.urgent_only or round_state.gang_reserved):
        pool = _servers_for_lower_priority(pending_step, capacities, now_s, round_state)
    for req in _requests(pending_step, pool, now_s):
        gang_kind = (*task_kind, policy.priority, req.one_rack, pool is capacities)
        if task_kind in round_state.unplaceable:
            placement = None
        elif step.gang and unconstrained:
            placement = _place_gang(req, gang_kind, round_state)
        else:
            placement = place(req)
        if placement is not None:
            return placement
        if unconstrained and not any(req.need.fits(capacity.free()) for capacity in req.usable):
            round_state.unplaceable.add(task_kind)
        if not pending_step.may_preempt or round_state.victim_searches >= MAX_VICTIM_SEARCHES:
            continue
        round_state.victim_searches += 1
        placement = place_by_preemption(req, round_state.groups)
        if placement is not None and placement.cost_core_s <= pending_step.preemption_limit_core_s:
            return placement
    return None


def _find_last_resort(
    pending_step: PendingStep,
    capacities: list[ServerCapacity],
    now_s: float,
    round_state: _RoundState,
) -> Placement | None:
    """Find servers for a step that waits although most of its pool is idle.

    Quarantined servers may be used too: a quarantine is to send work elsewhere,
    and there is nowhere else.
    """
    step, service = pending_step.state.step, pending_step.state.job.policy.service
    if service not in round_state.quarantined or now_s - pending_step.ready_s < IDLE_POOL_WAIT_S:
        return None
    if not round_state.is_idle(service, capacities):
        return None
    usable = tuple(
        capacity
        for capacity in capacities
        if capacity.accepts(service, step, last_resort=True)
        and capacity.server not in pending_step.barred_servers
    )
    placements = (place(req) for req in _requests_among(pending_step, usable, now_s))
    return next((placement for placement in placements if placement is not None), None)


def _place_gang(req: Request, kind: tuple, round_state: _RoundState) -> Placement | None:
    """Place a gang, unless a smaller one of its kind did not fit earlier in the round."""
    wanted = len(req.indexes)
    if wanted >= round_state.failed_gangs.get(kind, inf):
        return None
    placement = place(req)
    if placement is None:
        round_state.failed_gangs[kind] = wanted
    return placement


def _servers_for_lower_priority(
    pending_step: PendingStep,
    capacities: list[ServerCapacity],
    now_s: float,
    round_state: _RoundState,
) -> list[ServerCapacity]:
    """Return the servers that are not reserved for more urgent work or for gangs.

    All servers are returned if the step could never run on the others, or if
    it has waited while most of the pool is idle.
    """
    step, service = pending_step.state.step, pending_step.state.job.policy.service
    priority = pending_step.state.job.policy.priority
    closed = round_state.clear if step.checkpoints else round_state.urgent_only
    unreserved = [
        capacity
        for capacity in capacities
        if capacity.server not in closed
        and round_state.gang_reserved.get(capacity.server, priority) >= priority
    ]
    min_slots = len(pending_step.state.waiting()) if step.gang else 1
    if not _could_ever_fit(pending_step.state, unreserved, min_slots):
        return capacities
    if now_s - pending_step.ready_s > IDLE_POOL_WAIT_S and round_state.is_idle(service, capacities):
        return capacities
    return unreserved


def _reserve_for_gang(
    pending_step: PendingStep, capacities: list[ServerCapacity], round_state: _RoundState
) -> None:
    """Reserve the servers on which a gang that could not be placed will fit first.

    Otherwise less urgent small tasks take each accelerator as it becomes free,
    and the gang has to preempt them or never runs.
    """
    step, policy = pending_step.state.step, pending_step.state.job.policy
    late = pending_step.prospect is ExpectedValue.NOTHING
    if not step.gang or late or round_state.gang_count >= MAX_RESERVING_GANGS:
        return
    wanted = len(pending_step.state.waiting())
    kind = (step.allocation, policy.service, step.labels, policy.priority, step.max_per_server)
    if wanted >= round_state.failed_reservations.get(kind, inf):
        return
    usable = [
        capacity
        for capacity in capacities
        if capacity.accepts(policy.service, step)
        and capacity.server not in round_state.gang_reserved
    ]
    if policy.priority:
        usable = [capacity for capacity in usable if capacity.server not in round_state.urgent_only]
    pool_size = sum(capacity.service == policy.service for capacity in capacities)
    chosen = _earliest_servers(pending_step.state, usable, policy.priority)
    reserved_count = len(round_state.gang_reserved) + len(chosen)
    if not chosen or reserved_count > MAX_GANG_RESERVED_SHARE * pool_size:
        round_state.failed_reservations[kind] = wanted
        return
    round_state.gang_reserved |= dict.fromkeys(chosen, policy.priority)
    round_state.gang_count += 1


def _earliest_servers(state: StepState, usable: list[ServerCapacity], priority: int) -> list[str]:
    """Return servers on which a gang fits once less urgent work has left them.

    Servers whose less urgent work has the least unsaved work for each task of
    the gang come first.
    """
    need, wanted = state.step.allocation, len(state.waiting())
    offers = []
    for capacity in usable:
        lower = [o for o in capacity.occupants.values() if o.priority > priority]
        free = sum((o.need for o in lower), start=capacity.free(excluding=str(state.key)))
        slots = need.max_count_in(free)
        if state.step.max_per_server:
            slots = min(slots, state.step.max_per_server)
        if slots:
            unsaved_core_s = sum(o.unsaved_core_s for o in lower)
            offers.append((unsaved_core_s / min(slots, wanted), capacity.server, slots))
    chosen = []
    for _, server, slots in sorted(offers):
        if wanted <= 0:
            break
        chosen.append(server)
        wanted -= slots
    return chosen if wanted <= 0 else []


def _could_ever_fit(state: StepState, capacities: Iterable[ServerCapacity], min_slots: int) -> bool:
    """Return whether so many tasks of a step would fit on the servers if these were empty."""
    step = state.step
    slots = 0
    for capacity in capacities:
        if capacity.accepts(state.job.policy.service, step):
            fitting = step.allocation.max_count_in(capacity.capacity)
            slots += min(fitting, step.max_per_server) if step.max_per_server else fitting
            if slots >= min_slots:
                return True
    return False


def _requests(
    pending_step: PendingStep, capacities: list[ServerCapacity], now_s: float
) -> list[Request]:
    """Return the requests to try for a step, in order of preference.

    Servers on which the step has failed come last.
    """
    step, service = pending_step.state.step, pending_step.state.job.policy.service
    usable = tuple(capacity for capacity in capacities if capacity.accepts(service, step))
    if not pending_step.avoided_servers:
        return _requests_among(pending_step, usable, now_s)
    preferred = tuple(c for c in usable if c.server not in pending_step.avoided_servers)
    unbarred = tuple(c for c in usable if c.server not in pending_step.barred_servers)
    found = _requests_among(pending_step, preferred, now_s) if preferred else []
    if len(unbarred) > len(preferred):
        found += _requests_among(pending_step, unbarred, now_s)
    return found or _requests_among(pending_step, usable, now_s)


def _requests_among(
    pending_step: PendingStep, usable: tuple[ServerCapacity, ...], now_s: float
) -> list[Request]:
    """Return the requests for a step on some servers, in order of preference.

    A step that prefers one rack gets only the request for it until it has
    waited for the estimated run time of a task.
    """
    state, step, policy = pending_step.state, pending_step.state.step, pending_step.state.job.policy
    base = Request(
        step=str(state.key),
        need=step.allocation,
        indexes=tuple(state.waiting()),
        service=policy.service,
        priority=policy.priority,
        guaranteed=pending_step.guaranteed,
        all_or_none=step.gang,
        max_per_server=step.max_per_server,
        usable=usable,
    )
    rack_wait_s = step.estimate_ms / 1000
    if step.gang and step.one_rack and step.count > 1:
        best = replace(base, one_rack=True)
        return (
            [best]
            if _fits_one_rack(best) and now_s - pending_step.ready_s < rack_wait_s
            else [best, base]
        )
    near = tuple(capacity for capacity in base.usable if capacity.rack == step.data_rack)
    if step.data_rack and near:
        best = replace(base, usable=near)
        return [best] if now_s - pending_step.ready_s < rack_wait_s else [best, base]
    return [base]


def _fits_one_rack(req: Request) -> bool:
    """Return whether the servers of some rack, if empty, could run the whole gang."""
    slots_by_rack: dict[str, int] = defaultdict(int)
    for capacity in req.usable:
        slots = req.need.max_count_in(capacity.capacity)
        if req.max_per_server:
            slots = min(slots, req.max_per_server)
        slots_by_rack[capacity.rack] += slots
    return max(slots_by_rack.values(), default=0) >= len(req.indexes)


def _reserve_resources(
    state: StepState, placement: Placement, capacities: list[ServerCapacity]
) -> None:
    """Reserve the resources of a placement for its step."""
    counts: dict[str, int] = defaultdict(int)
    for server in placement.places.values():
        counts[server] += 1
    need = state.step.allocation
    for capacity in capacities:
        n = counts.get(capacity.server, 0)
        if n:
            reserved = Resources(need.cpu_milli * n, need.memory_mb * n, need.accelerators * n)
            capacity.reserved[str(state.key)] = reserved
