"""State of the cluster as the leader knows it."""

import threading
from collections.abc import Callable, Iterable

from loguru import logger

from catkinknot.jobs import (
    PHASE_SUFFIX,
    JobEntry,
    JobPhase,
    Resources,
    RunOutcome,
    StepKey,
    StepState,
    TaskPhase,
    TaskState,
    read_step_key,
    write_step,
)
from catkinknot.model import Clock
from catkinknot.packing import Occupant, ServerCapacity

from ._capacity import CapacityUpdater
from ._recorder import Recorder
from ._servers import Listing
from ._store import JOBS, RUNS
from ._views import CLOCK_DRIFT, LEASE_MARGIN_S, JobView, RunView, ServerView

__all__ = ["QUARANTINE_S", "ClusterState"]

REFUSED_START_DELAY_S = 0.3
"""Delay before a step is placed again after a server refused to start one of its tasks."""

QUARANTINE_S = 6.0
"""Time for which a server that fails many jobs gets no new work."""


class ClusterState:
    """All jobs, servers and runs known to the leader; methods acquire the lock themselves.

    Attributes:
        lock: Guards all state of this object.
        clock: Source of time.
        jobs: Jobs by identity.
        servers: Servers by lifetime.
        changed: Set when the planner may have something to decide.
        send_stop: Sends the order to stop a run, with a reason.
    """

    def __init__(
        self,
        recorder: Recorder,
        *,
        clock: Clock,
        stop_run: Callable[[ServerView, RunView, str], None],
        on_server_removed: Callable[[Listing], None] = lambda listing: None,
        fence_s: float,
        max_lease_s: float,
        inherited_until_s: float,
    ) -> None:
        """Create an empty state.

        Args:
            recorder: Writes changes to the store.
            clock: Source of time.
            stop_run: Sends the order to stop a run, with a reason.
            on_server_removed: Called after a lost server has been removed, if no other
                server uses its address.
            fence_s: When earlier leaders were fenced.
            max_lease_s: How long after `fence_s` leases granted by earlier
                leaders may last, and any lease after the order that grants it.
            inherited_until_s: When no earlier leader may send a start any more.
        """
        self._recorder = recorder
        self.clock = clock
        self.send_stop = stop_run
        self._on_server_removed = on_server_removed
        self._max_lease_s = max_lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
        self._inherited_lease_end_s = fence_s + self._max_lease_s
        self._inherited_until_s = inherited_until_s
        self._log = logger.bind(part="board")
        self.lock = threading.RLock()
        self.changed = threading.Event()
        self.jobs: dict[str, JobView] = {}
        self.servers: dict[str, ServerView] = {}
        self._expired_lifetimes: set[str] = set()
        self._replaced_lifetimes: set[str] = set()
        self._capacity = CapacityUpdater()

    # Jobs

    def apply_entry(self, entry: JobEntry, recorded: dict[StepKey, list[TaskState]]) -> None:
        """Apply a job's entry from the ledger.

        Args:
            entry: Current entry of the job.
            recorded: Task states by step, as recorded by an earlier leader.
        """
        with self.lock:
            view = self.jobs.get(entry.job.id)
            if view is None:
                view = JobView(entry.job, entry.phase)
                self.jobs[entry.job.id] = view
                for key, tasks in recorded.items():
                    self._adopt(view, key, tasks)
            if entry.cancelled and not view.phase.final:
                self._finish(view, JobPhase.CANCELLED, "cancelled by its caller")
            elif view.phase.final and recorded:
                self._stop_remaining_runs(view)
            else:
                self._resume(view, recorded)
            self.changed.set()

    def _resume(self, view: JobView, recorded: dict[StepKey, list[TaskState]]) -> None:
        """Do what follows from the recorded states of a job's steps.

        The earlier leader may have been lost before it could do so, as phases
        are recorded apart from the states of steps.
        """
        begun = any(task.run for tasks in recorded.values() for task in tasks)
        if begun and view.phase is JobPhase.QUEUED:
            self._set_phase(view, JobPhase.RUNNING)
        for key in recorded:
            self._follow_up(view, view.steps[key])

    def remove_job(self, job_id: str) -> None:
        """Remove a job that the ledger no longer holds."""
        with self.lock:
            self.jobs.pop(job_id, None)

    def _adopt(self, view: JobView, key: StepKey, tasks: list[TaskState]) -> None:
        """Adopt a step with the runs that an earlier leader recorded."""
        state = StepState(key, view.job.steps[key.step], view.job, tasks)
        view.steps[key] = state
        now_s = self.clock.now()
        settled = now_s >= self._inherited_until_s
        for i in state.assigned():
            task = tasks[i]
            server = self._server_view(task.server)
            run = RunView(
                key.task(i),
                key,
                i,
                task.run,
                now_s,
                start_resolved_s=float("-inf") if settled else None,
                inherited_until_s=self._inherited_until_s,
                sent=True,
                checkpoint=task.checkpoint,
            )
            server.admit(run, self.occupant_of(state, i))
            server.lease_end_s = max(server.lease_end_s, self._inherited_lease_end_s)

    def _server_view(self, lifetime: str) -> ServerView:
        """Return a server by lifetime; add it if only the ledger names it."""
        if lifetime not in self.servers:
            capacity = ServerCapacity(
                lifetime, "", "", frozenset(), "", Resources(), schedulable=False
            )
            lease_expired = lifetime in self._expired_lifetimes
            self.servers[lifetime] = ServerView(
                lifetime, None, capacity, listed=False, lease_expired=lease_expired
            )
        return self.servers[lifetime]

    def occupant_of(self, state: StepState, index: int) -> Occupant:
        """Describe the share of its server's capacity that a task uses."""
        task = state.key.task(index)
        return Occupant(
            task=task,
            group=str(state.key) if state.step.gang else task,
            step=str(state.key),
            need=state.step.allocation,
            priority=state.job.policy.priority,
            resumable=state.step.checkpoints,
            pinned=state.step.max_unavailable > 0,
        )

    # Servers

    def apply_listing(self, listings: Iterable[Listing]) -> None:
        """Apply the current listings of all servers."""
        with self.lock:
            now_s = self.clock.now()
            current = {
                listing.lifetime: listing
                for listing in listings
                if listing.lifetime not in self._replaced_lifetimes
            }
            by_id = {listing.id: listing for listing in current.values()}
            for view in list(self.servers.values()):
                if view.lifetime not in current:
                    view.listed = False
                    if self._has_restarted(view, by_id):
                        other = by_id[_server_id(view.lifetime)]
                        self.replace_lifetime(view, other, "the server has restarted")
            self._replaced_lifetimes = {
                lifetime
                for lifetime in self._replaced_lifetimes
                if _server_id(lifetime) not in by_id
            }
            for listing in current.values():
                view = self._server_view(listing.lifetime)
                self._refresh(view, listing, now_s)
            self.changed.set()

    def _has_restarted(self, view: ServerView, by_id: dict[str, Listing]) -> bool:
        """Return whether the server is listed with a later lifetime."""
        name, _, started_at_ms = view.lifetime.rpartition("@")
        other = by_id.get(name)
        return other is not None and other.started_at_ms > int(started_at_ms)

    def _refresh(self, view: ServerView, listing: Listing, now_s: float) -> None:
        """Apply the listing of one server."""
        if view.listing is None or view.listing.draining != listing.draining:
            self._log.bind(
                server=view.lifetime, draining=listing.draining, service=listing.service
            ).info("A server listing was applied.")
        if not listing.draining:
            view.shutdown_at_s = None
        elif view.shutdown_at_s is None or view.listing != listing:
            view.shutdown_at_s = now_s + listing.remaining_ms / 1000
        view.listed = True
        view.listing = listing
        capacity = view.room
        capacity.zone = listing.zone
        capacity.rack = listing.rack
        capacity.labels = listing.labels
        capacity.service = listing.service
        capacity.capacity = listing.capacity
        view.note_listed_clock(listing.clock_ms, now_s)

    def refresh_capacity(self) -> None:
        """Update which servers may get new work, and the cost of stopping each run."""
        with self.lock:
            self._capacity.update(self.servers.values(), self.clock.now())

    def expire_leases(self) -> None:
        """End the runs of unresponsive servers whose leases have expired."""
        with self.lock:
            now_s = self.clock.now()
            for view in list(self.servers.values()):
                if view.runs and now_s >= view.lease_end_s and not self._is_responsive(view):
                    self.mark_server_lost(view, "its lease has expired")
                    view.lease_expired = True
                    self._expired_lifetimes.add(view.lifetime)
                if not view.runs and not view.listed and not view.watched:
                    del self.servers[view.lifetime]
                    self._close_connections(view)

    def _close_connections(self, view: ServerView) -> None:
        """Report a server as removed, unless its address is in use again."""
        if view.listing is None:
            return
        others = (other.listing for other in self.servers.values() if other.listing)
        if all(other.address != view.listing.address for other in others):
            self._on_server_removed(view.listing)

    def _is_responsive(self, view: ServerView) -> bool:
        """Return whether a server has answered, and has not failed to answer since."""
        return view.last_response_s is not None and view.unresponsive_since_s is None

    def mark_server_lost(self, view: ServerView, reason: str) -> None:
        """End all runs of a lifetime that no longer runs anything."""
        with self.lock:
            self._log.bind(server=view.lifetime, runs=len(view.runs), reason=reason).warning(
                "The runs of a server are lost."
            )
            for run in list(view.runs.values()):
                self.end_run(view, run, RunOutcome.LOST, run.checkpoint)
            view.listed = False
            self.changed.set()

    def replace_lifetime(self, view: ServerView, other: Listing | None, reason: str) -> None:
        """End a lifetime that no longer exists, and what it may have left in another one.

        Two lifetimes of a server have the same identity, so a start may have
        reached the next one. A run that the ended lifetime never showed is
        stopped there, and its task starts again only when that is done. So is a
        run whose start may still arrive.

        Args:
            view: The ended lifetime.
            other: Listing of the lifetime of the same server that was found in its
                place, None if none was.
            reason: How that was found.
        """
        with self.lock:
            view.replaced = True
            self._replaced_lifetimes.add(view.lifetime)
            now_s = self.clock.now()
            for run in list(view.runs.values()):
                if run.may_start_in_next_lifetime(now_s) and other is not None:
                    self._move_run(view, run, other)
            self.mark_server_lost(view, reason)

    def _move_run(self, view: ServerView, run: RunView, other: Listing) -> None:
        """Stop a run in the lifetime of its server that may have started it instead."""
        now_s = self.clock.now()
        successor = self._server_view(other.lifetime)
        if successor.listing is None:
            successor.listing = other
            successor.note_clock(other.clock_ms, now_s)
        view.drop(run.task)
        moved = RunView(run.task, run.key, run.index, run.run, run.assigned_s, sent=True)
        moved.checkpoint = run.checkpoint
        job = self.jobs.get(run.key.job)
        state = job.steps.get(run.key) if job else None
        if state is not None and run.task not in successor.runs:
            successor.admit(moved, self.occupant_of(state, run.index))
            successor.lease_end_s = max(successor.lease_end_s, now_s + self._max_lease_s)
        self.stop_run(successor, moved, f"its start may have reached {other.lifetime}")
        if state is not None and state.step.gang and not state.done:
            self._stop_gang(state)

    # Runs

    def mark_responsive(self, view: ServerView) -> None:
        """Clear the mark that a server's lease has expired, since it has answered."""
        view.lease_expired = False
        self._expired_lifetimes.discard(view.lifetime)

    def count_runs(self) -> int:
        """Return the number of runs that are or may be on servers."""
        with self.lock:
            return sum(len(view.runs) for view in self.servers.values())

    def assign(self, state: StepState, places: dict[int, str]) -> list[tuple[ServerView, RunView]]:
        """Assign tasks to servers and queue the record of it.

        Args:
            state: The step.
            places: Lifetime of the server by index of the task.

        Returns:
            The runs to start once the record is in the store.
        """
        with self.lock:
            state.assign(places)
            started = []
            for i, lifetime in places.items():
                run = RunView(state.key.task(i), state.key, i, state.tasks[i].run, self.clock.now())
                view = self.servers[lifetime]
                view.admit(run, self.occupant_of(state, i))
                started.append((view, run))
            self._record(state)
            view = self.jobs[state.job.id]
            if view.phase is JobPhase.QUEUED:
                self._set_phase(view, JobPhase.RUNNING)
            return started

    def end_unstarted(self, view: ServerView, run: RunView, reason: str) -> None:
        """End a run that never started."""
        with self.lock:
            if view.runs.get(run.task) is run:
                self._log.bind(
                    task=run.task, run=run.run, server=view.lifetime, reason=reason
                ).info("A run was not started.")
                self.end_run(view, run, RunOutcome.LOST, run.checkpoint)
                job = self.jobs.get(run.key.job)
                if job is not None:
                    job.paused_until_s[run.key] = self.clock.now() + REFUSED_START_DELAY_S
                self.changed.set()

    def end_run(self, view: ServerView, run: RunView, how: RunOutcome, checkpoint: str) -> None:
        """End a run, and update its step and job."""
        view.drop(run.task)
        job = self.jobs.get(run.key.job)
        state = job.steps.get(run.key) if job else None
        self._log.bind(task=run.task, run=run.run, server=view.lifetime, how=how.value).info(
            "A run has ended."
        )
        if job is None or state is None:
            return
        task = state.tasks[run.index]
        if task.phase is not TaskPhase.ASSIGNED or task.run != run.run:
            return
        state.end(run.index, how, checkpoint)
        self._record(state)
        self._follow_up(job, state)

    def _follow_up(self, job: JobView, state: StepState) -> None:
        """Do what follows from the state of a step: stop its gang, or finish its job."""
        if state.step.gang and state.waiting():
            self._stop_gang(state)
        if job.phase.final:
            return
        if state.exhausted:
            self._finish(job, JobPhase.FAILED, "a task failed as often as its queue allows")
        elif state.done and job.done:
            self._finish(job, JobPhase.COMPLETED, "all its tasks are done")

    def finish_late(self, view: ServerView, task: str, run: int) -> None:
        """Record that a run declared lost had in fact completed."""
        step_text, _, index = task.rpartition(".")
        key = read_step_key(step_text)
        job = self.jobs.get(key.job)
        state = job.steps.get(key) if job else None
        if state is None or job.phase.final or not state.finish_late(int(index), run):
            return
        self._log.bind(task=task, run=run, server=view.lifetime).info(
            "A run that was declared lost had completed."
        )
        self._record(state)
        self._follow_up(job, state)

    def _stop_gang(self, state: StepState) -> None:
        """Stop the remaining members of a gang that has lost a member."""
        for i in state.assigned():
            self.stop_task(state, i, "another member of its gang has ended")

    def stop_task(self, state: StepState, index: int, reason: str) -> None:
        """Stop the current run of a task."""
        with self.lock:
            view = self.servers.get(state.tasks[index].server)
            run = view.runs.get(state.key.task(index)) if view else None
            if view is not None and run is not None:
                self.stop_run(view, run, reason)

    def stop_run(self, view: ServerView, run: RunView, reason: str) -> None:
        """Stop a run that is or may be on a server, whatever has become of its task.

        The end of one member completes a gang, but the start of another may
        still be without an answer, and its run uses the server until it is resolved.
        """
        with self.lock:
            if run.stopping:
                return
            run.stopping = True
            run.stop_sent_s = self.clock.now()
            self._log.bind(task=run.task, run=run.run, server=view.lifetime, reason=reason).info(
                "A run is being stopped."
            )
            self.send_stop(view, run, reason)

    def stop_group(self, group: str, reason: str) -> None:
        """Stop all runs of an occupant group, which are stopped together."""
        with self.lock:
            for view in list(self.servers.values()):
                for occupant in list(view.room.occupants.values()):
                    if occupant.group == group:
                        self.stop_run(view, view.runs[occupant.task], reason)

    # Records

    def advance_jobs(self) -> None:
        """Add the occurrences that are due, and finish the jobs that are done."""
        with self.lock:
            now_ms = self.clock.wall() * 1000
            for view in self.jobs.values():
                if view.phase.final:
                    continue
                while (
                    view.next_occurrence < view.job.occurrences
                    and view.job.due_ms(view.next_occurrence) <= now_ms
                ):
                    view.open_next()
                if view.done:
                    self._finish(view, JobPhase.COMPLETED, "all its tasks are done")

    def _finish(self, view: JobView, phase: JobPhase, reason: str) -> None:
        """Finish a job and stop its remaining runs."""
        self._log.bind(job=view.job.id, phase=phase.value, reason=reason).info("A job has ended.")
        view.ended_s = self.clock.now()
        self._set_phase(view, phase)
        self._stop_remaining_runs(view)

    def _stop_remaining_runs(self, view: JobView) -> None:
        """Stop the remaining runs of a job that has ended."""
        for state in view.steps.values():
            for i in state.assigned():
                self.stop_task(state, i, f"its job is {view.phase.value}")

    def _set_phase(self, view: JobView, phase: JobPhase) -> None:
        """Change the phase that callers see, and queue its record."""
        view.phase = phase
        self._recorder.put(JOBS, view.job.id + PHASE_SUFFIX, phase.value.encode())

    def _record(self, state: StepState) -> None:
        """Queue the record of a step's current state."""
        self._recorder.put(RUNS, str(state.key), write_step(state))


def _server_id(lifetime: str) -> str:
    """Return the identity of the server that a lifetime belongs to."""
    return lifetime.rpartition("@")[0]
