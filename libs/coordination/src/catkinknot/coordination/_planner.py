"""Give waiting tasks to servers, and stop what is in their way."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from catkinknot.jobs import Configuration, StepKey, StepState
from catkinknot.model import Clock
from catkinknot.packing import (
    Demand,
    Placement,
    Prospect,
    Room,
    Wanting,
    choose,
    guaranteed_jobs,
    keep_clear,
)

from ._cluster_state import ACCELERATOR_CORES, ClusterState
from ._drain import evict_from_draining
from ._reconcile import purge_ended_jobs, resend_stops, stop_stalled
from ._recorder import Recorder
from ._views import JobView, RunView, ServerView

__all__ = ["Planner"]

VICTIM_TIMEOUT_S = 3.0
"""How long a step keeps room for itself whose victims do not end."""

LATE_FACTOR = 3
"""A job earns nothing once this many times its objective has passed."""

LATE_MARGIN = 0.15
"""Share of the objective that estimates may be wrong by before a job counts as late."""

MIN_SLACK_S = 1.0
"""A step stops others when it could wait no longer than this."""

URGENT_WAIT_S = 0.4
"""How long work on a guarantee waits for room before it stops others."""

WAITING_LOG_DELAY_S = 0.3
"""A step that waits this long is logged."""

URGENT_EVICTION_RATIO = 2.5
"""Work that may be thrown away for urgent work, as a multiple of its own."""

EVICTION_RATIO = 0.25
"""The same for other work."""


@dataclass(slots=True)
class _Reservation:
    """Wait for victims to end.

    Attributes:
        placement: Where the step goes then.
        since_s: When the victims were told.
    """

    placement: Placement
    since_s: float


class Planner:
    """Decide over and over; the board's lock is held for each round."""

    def __init__(
        self,
        cluster: ClusterState,
        *,
        recorder: Recorder,
        clock: Clock,
        config: Callable[[], Configuration | None],
        start: Callable[[list[tuple[ServerView, RunView]]], None],
    ) -> None:
        """Keep the parts.

        Args:
            cluster: What is known.
            recorder: Writes what must last.
            clock: Where time comes from.
            config: Returns the configuration in force.
            start: Starts runs once their record is in the store.
        """
        self._board = cluster
        self._recorder = recorder
        self._clock = clock
        self._config = config
        self._start = start
        self._reservations: dict[StepKey, _Reservation] = {}
        self._demand: dict[str, Demand] = {}
        self._logged: set[StepKey] = set()
        self._log = logger.bind(part="planner")

    def plan(self) -> None:
        """Decide what can be decided now."""
        cluster = self._board
        with cluster.lock:
            cluster.advance_jobs()
            cluster.expire_leases()
            resend_stops(cluster, self._clock)
            stop_stalled(cluster, self._clock)
            evict_from_draining(cluster, self._clock)
            purge_ended_jobs(cluster, self._recorder, self._clock)
            cluster.refresh_capacity()
            self._mark_guaranteed()
            self._use_reservations()
            pending = [
                one for one in self._pending_requests() if one.state.key not in self._reservations
            ]
            if not pending:
                return
            rooms = [view.room for view in cluster.servers.values()]
            clear = self._reserve_headroom(rooms, pending)
            chosen = choose(pending, rooms, self._clock.now(), urgent_only=clear)
            for one, placement in chosen:
                self._apply_placement(one, placement)
            self._log_waiting(pending, {one.state.key for one, _ in chosen}, rooms, clear)

    def _log_waiting(
        self,
        pending: list[Wanting],
        chosen: set[StepKey],
        rooms: list[Room],
        clear: frozenset[str],
    ) -> None:
        """Log once for each step that it waits, and beside what."""
        waiting = [one for one in pending if one.state.key not in chosen]
        self._logged &= {one.state.key for one in waiting}
        now_s = self._clock.now()
        for one in waiting:
            key = one.state.key
            if key in self._logged or now_s - one.due_s < WAITING_LOG_DELAY_S:
                continue
            self._logged.add(key)
            service = one.state.job.policy.service
            pool = [room for room in rooms if room.open and room.service == service]
            self._log.bind(
                step=str(key),
                tasks=len(one.state.waiting()),
                waited_ms=int((now_s - one.due_s) * 1000),
                priority=one.state.job.policy.priority,
                guaranteed=one.guaranteed,
                prospect=one.prospect.name.lower(),
                servers=len(pool),
                kept_clear=sum(room.server in clear for room in pool),
                free_accelerators=sum(room.free().accelerators for room in pool),
            ).info("A step waits.")

    def _reserve_headroom(self, rooms: list[Room], pending: list[Wanting]) -> frozenset[str]:
        """Return the servers of each pool that are kept for urgent work."""
        clear: set[str] = set()
        pools: dict[str, list[Room]] = defaultdict(list)
        for room in rooms:
            if room.open:
                pools[room.service].append(room)
        for service, members in pools.items():
            demand = self._demand.setdefault(service, Demand())
            demand.note(self._clock.now(), _urgent_accelerators(service, members, pending))
            clear |= keep_clear(members, demand.peak)
        return frozenset(clear)

    def _mark_guaranteed(self) -> None:
        """Say which running tasks their workspace's guarantee covers."""
        guaranteed_ids = self._guaranteed_job_ids()
        for view in self._board.servers.values():
            for task, occupant in view.room.occupants.items():
                occupant.guaranteed = view.runs[task].key.job in guaranteed_ids

    def _guaranteed_job_ids(self) -> set[str]:
        """Return the urgent jobs that fit into their workspace's guarantee."""
        cfg = self._config()
        if cfg is None:
            return set()
        guarantees = {
            name: workspace.guaranteed_accelerators for name, workspace in cfg.workspaces.items()
        }
        views = [view for view in self._board.jobs.values() if not view.phase.final]
        views.sort(key=lambda view: (view.job.accepted_ms, view.job.id))
        return guaranteed_jobs(
            (state for view in views for state in view.steps.values()), guarantees
        )

    def _pending_requests(self) -> list[Wanting]:
        """Return the steps that wait for servers."""
        guaranteed_ids = self._guaranteed_job_ids()
        found = []
        for view in self._board.jobs.values():
            if view.phase.final:
                continue
            for state in view.steps.values():
                if self._is_pending(view, state):
                    found.append(self._make_request(view, state, guaranteed_ids))
        return found

    def _is_pending(self, view: JobView, state: StepState) -> bool:
        """Tell whether a step's turn has come and it has tasks to place."""
        waiting = len(state.waiting())
        if not waiting or (state.step.gang and waiting < state.step.count):
            return False
        if view.paused_until_s.get(state.key, 0.0) > self._clock.now():
            return False
        return not state.exhausted and view.is_ready(state)

    def _make_request(self, view: JobView, state: StepState, guaranteed_ids: set[str]) -> Wanting:
        """Describe a step that waits."""
        now_s = self._clock.now()
        ready_s = view.ready_s.setdefault(state.key, now_s)
        guaranteed = view.job.id in guaranteed_ids
        prospect, slack_s = self._expected_value(view, state)
        waits_s = min(slack_s - MIN_SLACK_S, URGENT_WAIT_S if guaranteed else slack_s)
        urgent = state.job.policy.priority == 0
        ratio = URGENT_EVICTION_RATIO if urgent else EVICTION_RATIO
        return Wanting(
            state,
            ready_s,
            guaranteed=guaranteed,
            prospect=prospect,
            evicts=(guaranteed and now_s - ready_s >= URGENT_WAIT_S)
            or (prospect is Prospect.IN_TIME and waits_s <= 0),
            eviction_limit_core_s=float("inf") if guaranteed else ratio * _work_core_s(state),
            suspects=frozenset(view.suspects.get(state.key, ())),
        )

    def _expected_value(self, view: JobView, state: StepState) -> tuple[Prospect, float]:
        """Return what a step can still earn, and how long it can wait for that.

        Returns:
            The prospect, and the seconds until a start would come too late
            for the job's objective.
        """
        job = view.job
        if job.lasts:
            return Prospect.IN_TIME, 0.0
        key = state.key
        done = frozenset(
            i
            for i in range(len(job.steps))
            if (other := view.steps.get(StepKey(job.id, key.occurrence, i))) and other.done
        )
        left_ms = job.chain_ms(done=done)
        age_ms = self._clock.wall() * 1000 - job.due_ms(key.occurrence)
        slack_ms = job.objective_ms() - age_ms - left_ms
        if age_ms > LATE_FACTOR * job.objective_ms():
            return Prospect.NOTHING, 0.0
        late = slack_ms < -LATE_MARGIN * job.objective_ms()
        return (Prospect.LATE if late else Prospect.IN_TIME), slack_ms / 1000

    def _apply_placement(self, one: Wanting, placement: Placement) -> None:
        """Start a step, or stop its victims and keep the room for it."""
        state = one.state
        self._log.bind(
            step=str(state.key),
            servers=sorted(set(placement.places.values())),
            victims=sorted(placement.victims),
            lost_core_s=round(placement.cost_core_s, 1),
            waited_ms=int((self._clock.now() - one.due_s) * 1000),
            guaranteed=one.guaranteed,
            prospect=one.prospect.name.lower(),
            priority=state.job.policy.priority,
        ).info("A step gets servers.")
        if not placement.victims:
            self._assign(state, placement)
            return
        self._reservations[state.key] = _Reservation(placement, self._clock.now())
        for group in sorted(placement.victims):
            self._board.stop_group(group, f"{state.key} needs its room")

    def _assign(self, state: StepState, placement: Placement) -> None:
        """Turn reserved room into runs."""
        self._release(state.key)
        self._start(self._board.assign(state, placement.places))

    def _use_reservations(self) -> None:
        """Start the steps whose victims have ended; drop what can't work out."""
        for key, reservation in list(self._reservations.items()):
            view = self._board.jobs.get(key.job)
            state = view.steps.get(key) if view else None
            waiting = set(state.waiting()) if state else set()
            gone = (
                view is None or view.phase.final or not set(reservation.placement.places) <= waiting
            )
            if gone or not self._servers_open(reservation):
                self._release(key)
            elif self._fits(state, reservation.placement):
                self._assign(state, reservation.placement)
            elif self._clock.now() - reservation.since_s > VICTIM_TIMEOUT_S:
                self._log.bind(step=str(key)).warning("Victims did not end in time.")
                self._release(key)

    def _servers_open(self, reservation: _Reservation) -> bool:
        """Tell whether all chosen servers can still take work."""
        servers = self._board.servers
        return all(
            lifetime in servers and servers[lifetime].room.open
            for lifetime in reservation.placement.places.values()
        )

    def _fits(self, state: StepState, placement: Placement) -> bool:
        """Tell whether the step fits beside what is still there."""
        for lifetime in set(placement.places.values()):
            room = self._board.servers[lifetime].room
            n = sum(server == lifetime for server in placement.places.values())
            if state.step.room.times_in(room.free(beside=str(state.key))) < n:
                return False
        return True

    def _release(self, key: StepKey) -> None:
        """Drop a step's reservation."""
        self._reservations.pop(key, None)
        for view in self._board.servers.values():
            view.room.reserved.pop(str(key), None)


def _urgent_accelerators(service: str, rooms: list[Room], pending: list[Wanting]) -> int:
    """Return the accelerators that urgent work of a pool has and waits for."""
    used = sum(
        occupant.need.accelerators
        for room in rooms
        for occupant in room.occupants.values()
        if occupant.priority == 0
    )
    waits = sum(
        len(one.state.waiting()) * one.state.step.need.accelerators
        for one in pending
        if one.state.job.policy.priority == 0 and one.state.job.policy.service == service
    )
    return used + waits


def _work_core_s(state: StepState) -> float:
    """Return the declared work of a step's waiting tasks."""
    each = state.step.need.cpu_milli / 1000 + state.step.need.accelerators * ACCELERATOR_CORES
    return len(state.waiting()) * each * state.step.estimate_ms / 1000
