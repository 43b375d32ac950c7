"""Place pending tasks on servers, and preempt other work for them."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from catkinknot.jobs import Configuration, StepKey, StepState
from catkinknot.model import Clock
from catkinknot.packing import (
    Demand,
    ExpectedValue,
    PendingStep,
    Placement,
    ServerCapacity,
    guaranteed_jobs,
    plan_placements,
    select_clear,
    select_headroom,
)

from ._capacity import ACCELERATOR_CORES
from ._cluster_state import ClusterState
from ._drain import evict_from_draining
from ._early_cancels import EarlyCancelPurger
from ._reconcile import purge_ended_jobs, resend_stops, stop_stalled
from ._recorder import Recorder
from ._views import JobView, RunView, ServerView

__all__ = ["Planner"]

VICTIM_TIMEOUT_S = 3.0
"""Time for which a step keeps its reservation while its victims don't end."""

LATE_FACTOR = 3
"""Multiple of its objective after which a job has no value left."""

LATE_MARGIN = 0.15
"""Share of the objective by which the predicted end may exceed it before a job counts as late.

The margin allows for errors of the declared run times.
"""

MIN_SLACK_S = 1.0
"""Slack below which a step preempts other work."""

URGENT_WAIT_S = 0.4
"""Time for which guaranteed work waits for free capacity before it preempts other work."""

WAITING_LOG_DELAY_S = 0.3
"""Time after which a pending step is logged."""

URGENT_PREEMPTION_RATIO = 2.5
"""Largest amount of unsaved work lost to preemption by urgent work, relative to its own."""

PREEMPTION_RATIO = 0.25
"""The same for other work."""


@dataclass(slots=True)
class _Reservation:
    """Capacity reserved for a step until its victims have ended.

    Attributes:
        placement: Placement of the step.
        since_s: When the victims were ordered to stop.
    """

    placement: Placement
    since_s: float


class Planner:
    """Places and preempts work in rounds; each round holds the lock of the cluster state."""

    def __init__(
        self,
        cluster: ClusterState,
        *,
        recorder: Recorder,
        clock: Clock,
        config: Callable[[], Configuration | None],
        start: Callable[[list[tuple[ServerView, RunView]]], None],
        early_cancels: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Create a planner.

        Args:
            cluster: The cluster state.
            recorder: Writes changes to the store.
            clock: Source of time.
            config: Returns the configuration in force.
            start: Starts runs once their record is in the store.
            early_cancels: Returns the ids of the cancelled jobs that the ledger does not hold.
        """
        self._cluster = cluster
        self._recorder = recorder
        self._clock = clock
        self._config = config
        self._start = start
        self._early_cancels = EarlyCancelPurger(early_cancels, recorder=recorder, clock=clock)
        self._pending_reservations: dict[StepKey, _Reservation] = {}
        self._demand: dict[str, Demand] = {}
        self._logged: set[StepKey] = set()
        self._log = logger.bind(part="planner")

    def plan(self) -> None:
        """Run one planning round."""
        cluster = self._cluster
        with cluster.lock:
            cluster.advance_jobs()
            cluster.expire_leases()
            resend_stops(cluster, self._clock)
            stop_stalled(cluster, self._clock)
            evict_from_draining(cluster, self._clock)
            purge_ended_jobs(cluster, self._recorder, self._clock)
            self._early_cancels.purge()
            cluster.refresh_capacity()
            guaranteed_ids = self._guaranteed_job_ids()
            self._mark_guaranteed(guaranteed_ids)
            self._use_reservations()
            pending_steps = [
                pending_step
                for pending_step in self._pending_steps(guaranteed_ids)
                if pending_step.state.key not in self._pending_reservations
            ]
            if not pending_steps:
                return
            capacities = [view.room for view in cluster.servers.values()]
            headroom, clear = self._reserve_headroom(capacities, pending_steps)
            chosen = plan_placements(
                pending_steps, capacities, self._clock.now(), urgent_only=headroom, clear=clear
            )
            for pending_step, placement in chosen:
                self._apply_placement(pending_step, placement)
            self._log_waiting(
                pending_steps,
                {pending_step.state.key for pending_step, _ in chosen},
                capacities,
                headroom,
            )

    def _log_waiting(
        self,
        pending_steps: list[PendingStep],
        chosen: set[StepKey],
        capacities: list[ServerCapacity],
        headroom: frozenset[str],
    ) -> None:
        """Log each waiting step once, with the capacity of its pool."""
        waiting = [
            pending_step for pending_step in pending_steps if pending_step.state.key not in chosen
        ]
        self._logged &= {pending_step.state.key for pending_step in waiting}
        now_s = self._clock.now()
        for pending_step in waiting:
            key = pending_step.state.key
            if key in self._logged or now_s - pending_step.ready_s < WAITING_LOG_DELAY_S:
                continue
            self._logged.add(key)
            service = pending_step.state.job.policy.service
            pool = [
                capacity
                for capacity in capacities
                if capacity.schedulable and capacity.service == service
            ]
            self._log.bind(
                step=str(key),
                tasks=len(pending_step.state.waiting()),
                waited_ms=int((now_s - pending_step.ready_s) * 1000),
                priority=pending_step.state.job.policy.priority,
                guaranteed=pending_step.guaranteed,
                prospect=pending_step.prospect.name.lower(),
                servers=len(pool),
                avoided=len(pending_step.avoided_servers),
                kept_clear=sum(capacity.server in headroom for capacity in pool),
                free_accelerators=sum(capacity.free().accelerators for capacity in pool),
            ).info("A step is waiting for servers.")

    def _reserve_headroom(
        self, capacities: list[ServerCapacity], pending_steps: list[PendingStep]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the servers reserved for urgent work, and those kept clear of resumable work."""
        headroom: set[str] = set()
        clear: set[str] = set()
        pools: dict[str, list[ServerCapacity]] = defaultdict(list)
        for capacity in capacities:
            if capacity.schedulable:
                pools[capacity.service].append(capacity)
        for service, members in pools.items():
            demand = self._demand.setdefault(service, Demand())
            demand.record(self._clock.now(), _urgent_accelerators(service, members, pending_steps))
            reserved = select_headroom(members, demand.peak)
            headroom |= reserved
            clear |= select_clear(members, reserved)
        return frozenset(headroom), frozenset(clear)

    def _mark_guaranteed(self, guaranteed_ids: set[str]) -> None:
        """Mark the running tasks that are covered by the guarantee of their workspace."""
        for view in self._cluster.servers.values():
            for task, occupant in view.room.occupants.items():
                occupant.guaranteed = view.runs[task].key.job in guaranteed_ids

    def _guaranteed_job_ids(self) -> set[str]:
        """Return the urgent jobs that fit within the guarantee of their workspace."""
        cfg = self._config()
        if cfg is None:
            return set()
        guarantees = {
            name: workspace.guaranteed_accelerators for name, workspace in cfg.workspaces.items()
        }
        views = [view for view in self._cluster.jobs.values() if not view.phase.final]
        views.sort(key=lambda view: (view.job.accepted_ms, view.job.id))
        return guaranteed_jobs(
            (state for view in views for state in view.steps.values()), guarantees
        )

    def _pending_steps(self, guaranteed_ids: set[str]) -> list[PendingStep]:
        """Return the steps that are ready to be placed."""
        found = []
        for view in self._cluster.jobs.values():
            if view.phase.final:
                continue
            for state in view.steps.values():
                if self._is_pending(view, state):
                    found.append(self._make_pending_step(view, state, guaranteed_ids))
        return found

    def _is_pending(self, view: JobView, state: StepState) -> bool:
        """Return whether a step is ready and has tasks to place."""
        waiting = len(state.waiting())
        if not waiting or (state.step.gang and waiting < state.step.count):
            return False
        if view.paused_until_s.get(state.key, 0.0) > self._clock.now():
            return False
        return not state.exhausted and view.is_ready(state)

    def _make_pending_step(
        self, view: JobView, state: StepState, guaranteed_ids: set[str]
    ) -> PendingStep:
        """Return the placement request of a pending step."""
        now_s = self._clock.now()
        ready_s = view.ready_s.setdefault(state.key, now_s)
        guaranteed = view.job.id in guaranteed_ids
        prospect, slack_s = self._expected_value(view, state)
        waits_s = min(slack_s - MIN_SLACK_S, URGENT_WAIT_S if guaranteed else slack_s)
        urgent = state.job.policy.priority == 0
        ratio = URGENT_PREEMPTION_RATIO if urgent else PREEMPTION_RATIO
        return PendingStep(
            state,
            ready_s,
            due_s=now_s + view.job.due_ms(state.key.occurrence) / 1000 - self._clock.wall(),
            guaranteed=guaranteed,
            prospect=prospect,
            may_preempt=(guaranteed and now_s - ready_s >= URGENT_WAIT_S)
            or (prospect is ExpectedValue.IN_TIME and waits_s <= 0),
            preemption_limit_core_s=float("inf") if guaranteed else ratio * _work_core_s(state),
            avoided_servers=view.avoided_servers(state.key),
            barred_servers=view.barred_servers(state.key, now_s),
        )

    def _expected_value(self, view: JobView, state: StepState) -> tuple[ExpectedValue, float]:
        """Return the expected value of a step, and how long its start can wait.

        Returns:
            The expected value, and the seconds until a start would be too
            late for the job's objective.
        """
        job = view.job
        if job.runs_until_cancelled:
            return ExpectedValue.IN_TIME, 0.0
        key = state.key
        done = frozenset(
            i
            for i in range(len(job.steps))
            if (other := view.steps.get(StepKey(job.id, key.occurrence, i))) and other.done
        )
        left_ms = job.critical_path_ms(done=done)
        age_ms = self._clock.wall() * 1000 - job.due_ms(key.occurrence)
        slack_ms = job.objective_ms() - age_ms - left_ms
        if age_ms > LATE_FACTOR * job.objective_ms():
            return ExpectedValue.NOTHING, 0.0
        late = slack_ms < -LATE_MARGIN * job.objective_ms()
        return (ExpectedValue.LATE if late else ExpectedValue.IN_TIME), slack_ms / 1000

    def _apply_placement(self, pending_step: PendingStep, placement: Placement) -> None:
        """Start a step, or stop its victims and keep the reservation for it."""
        state = pending_step.state
        self._log.bind(
            step=str(state.key),
            servers=sorted(set(placement.places.values())),
            victims=sorted(placement.victims),
            lost_core_s=round(placement.cost_core_s, 1),
            waited_ms=int((self._clock.now() - pending_step.ready_s) * 1000),
            guaranteed=pending_step.guaranteed,
            prospect=pending_step.prospect.name.lower(),
            priority=state.job.policy.priority,
        ).info("A step gets servers.")
        if not placement.victims:
            self._assign(state, placement)
            return
        self._pending_reservations[state.key] = _Reservation(placement, self._clock.now())
        for group in sorted(placement.victims):
            self._cluster.stop_group(group, f"{state.key} preempts the run")

    def _assign(self, state: StepState, placement: Placement) -> None:
        """Start the runs of a step on its reserved capacity."""
        self._release(state.key)
        self._start(self._cluster.assign(state, placement.places))

    def _use_reservations(self) -> None:
        """Start the steps whose victims have ended; release reservations that can't be used."""
        for key, pending_reservation in list(self._pending_reservations.items()):
            view = self._cluster.jobs.get(key.job)
            state = view.steps.get(key) if view else None
            waiting = set(state.waiting()) if state else set()
            gone = (
                view is None
                or view.phase.final
                or not set(pending_reservation.placement.places) <= waiting
            )
            if gone or not self._servers_open(pending_reservation):
                self._release(key)
            elif self._placement_fits(state, pending_reservation.placement):
                self._assign(state, pending_reservation.placement)
            elif self._clock.now() - pending_reservation.since_s > VICTIM_TIMEOUT_S:
                self._log.bind(step=str(key)).warning("The victims of a step did not end in time.")
                self._release(key)

    def _servers_open(self, pending_reservation: _Reservation) -> bool:
        """Return whether all servers of a reservation still accept work."""
        servers = self._cluster.servers
        return all(
            lifetime in servers and servers[lifetime].room.schedulable
            for lifetime in pending_reservation.placement.places.values()
        )

    def _placement_fits(self, state: StepState, placement: Placement) -> bool:
        """Return whether a step fits beside the runs that are still on its servers."""
        for lifetime in set(placement.places.values()):
            capacity = self._cluster.servers[lifetime].room
            n = sum(server == lifetime for server in placement.places.values())
            if state.step.allocation.max_count_in(capacity.free(excluding=str(state.key))) < n:
                return False
        return True

    def _release(self, key: StepKey) -> None:
        """Release the reservation of a step."""
        self._pending_reservations.pop(key, None)
        for view in self._cluster.servers.values():
            view.room.reserved.pop(str(key), None)


def _urgent_accelerators(
    service: str, capacities: list[ServerCapacity], pending_steps: list[PendingStep]
) -> int:
    """Return the number of accelerators that urgent work of a pool uses or waits for."""
    used = sum(
        occupant.need.accelerators
        for capacity in capacities
        for occupant in capacity.occupants.values()
        if occupant.priority == 0
    )
    pending_accelerators = sum(
        len(pending_step.state.waiting()) * pending_step.state.step.need.accelerators
        for pending_step in pending_steps
        if pending_step.state.job.policy.priority == 0
        and pending_step.state.job.policy.service == service
    )
    return used + pending_accelerators


def _work_core_s(state: StepState) -> float:
    """Return the estimated work of a step's waiting tasks, in core seconds."""
    task_cores = state.step.need.cpu_milli / 1000 + state.step.need.accelerators * ACCELERATOR_CORES
    return len(state.waiting()) * task_cores * state.step.estimate_ms / 1000
