"""Decide which waiting steps get servers next."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

from catkinknot.jobs import Resources, StepState

from ._capacity import ServerCapacity
from ._headroom import half_used
from ._place import OccupantGroups, Placement, Request, place, place_by_preemption

__all__ = ["ExpectedValue", "PendingStep", "guaranteed_jobs", "plan_placements"]

EVICTIONS_A_ROUND = 6
"""Steps that may look for victims in one round; the others wait for the next."""


IDLE_PATIENCE_S = 1.0
"""How long other work leaves servers that are kept clear alone beside an idle half."""


SAVED_GANGS = 3
"""Waiting gangs for which less urgent work leaves servers alone."""

SAVED_SHARE = 0.35
"""Share of a pool's servers that is saved for waiting gangs at most."""


class ExpectedValue(IntEnum):
    """Say what a step that gets servers now can still earn its caller."""

    IN_TIME = 0
    LATE = 1
    NOTHING = 2


@dataclass(slots=True)
class PendingStep:
    """Wait for servers.

    Attributes:
        state: The step and its tasks.
        ready_s: When it became ready, on the leader's clock.
        guaranteed: Whether its workspace's guarantee covers it.
        prospect: What it can still earn.
        may_preempt: Whether its time to wait for room is over.
        preemption_limit_core_s: Most work that may be thrown away for it.
        avoided_servers: Servers it should not use.
    """

    state: StepState
    ready_s: float
    guaranteed: bool = False
    prospect: ExpectedValue = ExpectedValue.IN_TIME
    may_preempt: bool = True
    preemption_limit_core_s: float = float("inf")
    avoided_servers: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple:
        """Sort the first to be served to the front."""
        return (
            not self.guaranteed,
            self.prospect is ExpectedValue.NOTHING,
            self.state.job.policy.priority,
            self.prospect,
            self.ready_s,
            str(self.state.key),
        )


def guaranteed_jobs(states: Iterable[StepState], guarantees: dict[str, int]) -> set[str]:
    """Return the jobs of priority 0 that their workspace's guarantee covers.

    Args:
        states: The steps of jobs that have not ended, oldest job first.
        guarantees: Guaranteed accelerators by workspace.
    """
    widest: dict[str, tuple[str, int]] = {}
    for state in states:
        if state.job.policy.priority:
            continue
        need = state.step.count * state.step.need.accelerators
        known = widest.get(state.job.id, ("", 0))[1]
        widest[state.job.id] = (state.job.workspace, max(need, known))
    left = dict(guarantees)
    covered = set()
    for job, (workspace, need) in widest.items():
        if need <= left.get(workspace, 0):
            left[workspace] -= need
            covered.add(job)
    return covered


def plan_placements(
    wanting: Iterable[PendingStep],
    rooms: list[ServerCapacity],
    now_s: float,
    *,
    urgent_only: frozenset[str] = frozenset(),
) -> list[tuple[PendingStep, Placement]]:
    """Give servers to waiting steps, the most urgent first.

    Room that is given, or kept for a step whose victims have yet to end, is
    noted in the rooms' reservations at once; the caller turns it into
    occupants or drops it.

    Args:
        wanting: What waits.
        rooms: All servers.
        now_s: The present time.
        urgent_only: Servers on which only urgent work may start.
    """
    chosen = []
    look = _Look(OccupantGroups(rooms), urgent_only)
    for one in sorted(wanting, key=lambda w: w.order):
        found = _serve(one, rooms, now_s, look)
        if found is None:
            _save_servers(one, rooms, look)
            continue
        _reserve(one.state, found, rooms)
        chosen.append((one, found))
    return chosen


@dataclass(slots=True)
class _Look:
    """Remember what one round has found out.

    Attributes:
        groups: Everything that runs, by what is stopped together.
        urgent_only: Servers on which only urgent work may start.
        evictions: Steps that looked for victims.
        full: What no server has room for; room only shrinks in a round.
        idle: Whether more than half of a pool was idle, by pool.
        saved: Servers on which work less urgent than this may not start.
        gangs: Gangs for which servers are saved.
    """

    groups: OccupantGroups
    urgent_only: frozenset[str]
    evictions: int = 0
    full: set[tuple] = field(default_factory=set)
    idle: dict[str, bool] = field(default_factory=dict)
    saved: dict[str, int] = field(default_factory=dict)
    gangs: int = 0

    def is_idle(self, service: str, rooms: list[ServerCapacity]) -> bool:
        """Tell whether more than half of a pool is idle."""
        if service not in self.idle:
            self.idle[service] = not half_used(r for r in rooms if r.service == service)
        return self.idle[service]


def _serve(
    one: PendingStep, rooms: list[ServerCapacity], now_s: float, look: _Look
) -> Placement | None:
    """Find servers for one step, by stopping others where it may."""
    step, policy = one.state.step, one.state.job.policy
    kind = (step.allocation, policy.service, step.labels, policy.priority == 0)
    plain = not (one.avoided_servers or step.data_rack or step.max_per_server)
    if kind in look.full and not one.may_preempt:
        return None
    if policy.priority and (look.urgent_only or look.saved):
        rooms = _rooms_of_less_urgent(one, rooms, now_s, look)
    for req in _requests(one, rooms, now_s):
        found = place(req) if kind not in look.full else None
        if found is not None:
            return found
        if plain and not any(req.need.fits(room.free()) for room in req.usable):
            look.full.add(kind)
        if not one.may_preempt or look.evictions >= EVICTIONS_A_ROUND:
            continue
        look.evictions += 1
        found = place_by_preemption(req, look.groups)
        if found is not None and found.cost_core_s <= one.preemption_limit_core_s:
            return found
    return None


def _rooms_of_less_urgent(
    one: PendingStep, rooms: list[ServerCapacity], now_s: float, look: _Look
) -> list[ServerCapacity]:
    """Leave out servers that are kept clear or saved, unless the step would wait for nothing."""
    step, service = one.state.step, one.state.job.policy.service
    priority = one.state.job.policy.priority
    others = [
        room
        for room in rooms
        if room.server not in look.urgent_only and look.saved.get(room.server, priority) >= priority
    ]
    least = len(one.state.waiting()) if step.gang else 1
    if not _could_take(one.state, others, least):
        return rooms
    if now_s - one.ready_s > IDLE_PATIENCE_S and look.is_idle(service, rooms):
        return rooms
    return others


def _save_servers(one: PendingStep, rooms: list[ServerCapacity], look: _Look) -> None:
    """Save the servers on which a gang that found no room will fit first.

    Otherwise less urgent small tasks take each server as it becomes free, and
    the gang has to stop them or never runs.
    """
    step, policy = one.state.step, one.state.job.policy
    late = one.prospect is not ExpectedValue.IN_TIME
    if not step.gang or late or look.gangs >= SAVED_GANGS:
        return
    usable = [
        room for room in rooms if room.takes(policy.service, step) and room.server not in look.saved
    ]
    if policy.priority:
        usable = [room for room in usable if room.server not in look.urgent_only]
    pool = sum(room.service == policy.service for room in rooms)
    chosen = _soonest(one.state, usable, policy.priority)
    if chosen and len(look.saved) + len(chosen) <= SAVED_SHARE * pool:
        look.saved |= dict.fromkeys(chosen, policy.priority)
        look.gangs += 1


def _soonest(state: StepState, usable: list[ServerCapacity], priority: int) -> list[str]:
    """Return the servers on which a gang fits beside work as urgent as itself.

    Those come first whose less urgent work has run the least.
    """
    need, wanted = state.step.allocation, len(state.waiting())
    offers = []
    for room in usable:
        lower = [o for o in room.occupants.values() if o.priority > priority]
        free = sum((o.need for o in lower), start=room.free(excluding=str(state.key)))
        slots = need.max_count_in(free)
        if state.step.max_per_server:
            slots = min(slots, state.step.max_per_server)
        if slots:
            unsaved = sum(o.unsaved_core_s for o in lower)
            offers.append((unsaved / min(slots, wanted), room.server, slots))
    chosen = []
    for _, server, slots in sorted(offers):
        if wanted <= 0:
            break
        chosen.append(server)
        wanted -= slots
    return chosen if wanted <= 0 else []


def _could_take(state: StepState, rooms: Iterable[ServerCapacity], least: int) -> bool:
    """Tell whether servers could take some tasks of a step if they were empty."""
    step = state.step
    slots = 0
    for room in rooms:
        if room.takes(state.job.policy.service, step):
            fit = step.allocation.max_count_in(room.capacity)
            slots += min(fit, step.max_per_server) if step.max_per_server else fit
            if slots >= least:
                return True
    return False


def _requests(one: PendingStep, rooms: list[ServerCapacity], now_s: float) -> list[Request]:
    """Return what to ask for, the best way first."""
    state, step, policy = one.state, one.state.step, one.state.job.policy
    usable = tuple(room for room in rooms if room.takes(policy.service, step))
    sound = tuple(room for room in usable if room.server not in one.avoided_servers)
    base = Request(
        step=str(state.key),
        need=step.allocation,
        indexes=tuple(state.waiting()),
        service=policy.service,
        priority=policy.priority,
        guaranteed=one.guaranteed,
        whole=step.gang,
        max_per_server=step.max_per_server,
        usable=sound or usable,
    )
    patience_s = step.estimate_ms / 1000
    if step.gang and step.one_rack and step.count > 1:
        best = replace(base, one_rack=True)
        return [best] if _fits_a_rack(best) and now_s - one.ready_s < patience_s else [best, base]
    near = tuple(room for room in base.usable if room.rack == step.data_rack)
    if step.data_rack and near:
        best = replace(base, usable=near)
        return [best] if now_s - one.ready_s < patience_s else [best, base]
    return [base]


def _fits_a_rack(req: Request) -> bool:
    """Tell whether some rack could ever take the whole gang."""
    sums: dict[str, int] = defaultdict(int)
    for room in req.usable:
        slots = req.need.max_count_in(room.capacity)
        if req.max_per_server:
            slots = min(slots, req.max_per_server)
        sums[room.rack] += slots
    return max(sums.values(), default=0) >= len(req.indexes)


def _reserve(state: StepState, found: Placement, rooms: list[ServerCapacity]) -> None:
    """Keep the chosen room for the step."""
    counts: dict[str, int] = defaultdict(int)
    for server in found.places.values():
        counts[server] += 1
    need = state.step.allocation
    for room in rooms:
        n = counts.get(room.server, 0)
        if n:
            kept = Resources(need.cpu_milli * n, need.memory_mb * n, need.accelerators * n)
            room.reserved[str(state.key)] = kept
