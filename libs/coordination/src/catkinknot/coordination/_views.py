"""State of servers, runs and jobs as the leader knows it."""

from dataclasses import dataclass, field

from catkinknot.jobs import Job, JobPhase, StepKey, StepState
from catkinknot.packing import Occupant, ServerCapacity

from ._servers import Listing

__all__ = ["CLOCK_DRIFT", "ClockReading", "JobView", "RunView", "ServerView"]

CLOCK_DRIFT = 1.021
"""Largest ratio of the leader's clock rate to that of a server."""

LEASE_MARGIN_S = 0.1
"""Time after the end of a lease until its runs count as killed."""


AVOIDANCE_S = 2.0
"""Time after a failure on a server for which a step waits for another one, if there is any."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Reading of a server's clock.

    Attributes:
        clock_ms: What the clock showed, in milliseconds.
        read_s: When the leader had the reading, on the leader's clock.
    """

    clock_ms: int
    read_s: float

    def earliest_ms(self, now_s: float) -> float:
        """Return the least that the clock can show now, in milliseconds."""
        return self.clock_ms + (now_s - self.read_s) * 1000 / CLOCK_DRIFT


@dataclass(slots=True)
class RunView:
    """Run of a task on a server.

    Attributes:
        task: Name of the task.
        key: Key of the step.
        index: Index of the task in its step.
        run: Number of the run.
        assigned_s: When the task was assigned to the server.
        start_resolved_s: When the start was resolved: the run is known to have
            started, or no order of this leader can start it any more. None while
            a start order may be in flight.
        inherited_until_s: When no start order of an earlier leader can be sent any
            more, None if this leader assigned the run.
        sent: Whether a start order may have been sent.
        confirmed: Whether this lifetime of the server has shown the run. An answer
            that doesn't name its lifetime may come from the next one.
        stopping: Whether the run has been ordered to stop.
        stop_sent_s: When the last stop order was sent.
        stop_acknowledged: Whether the server has answered a stop order.
        doubtful: Whether a start order got no answer, so the run may exist.
        checkpoint: Latest checkpoint that the server reported.
        percent: Progress, as the server reports it.
        last_progress_s: When the progress last changed, None before the server first
            listed the run.
    """

    task: str
    key: StepKey
    index: int
    run: int
    assigned_s: float
    start_resolved_s: float | None = None
    inherited_until_s: float | None = None
    sent: bool = False
    confirmed: bool = False
    stopping: bool = False
    stop_sent_s: float = 0.0
    stop_acknowledged: bool = False
    doubtful: bool = False
    checkpoint: str = ""
    percent: int = 0
    last_progress_s: float | None = None

    @property
    def unproven(self) -> bool:
        """Whether the run may be in the server's next lifetime instead."""
        return self.sent and not self.confirmed

    @property
    def settled_s(self) -> float | None:
        """When no order of any leader can start the run any more, None if one still may."""
        if self.inherited_until_s is None:
            return self.start_resolved_s
        return max(self.inherited_until_s, self.start_resolved_s or self.inherited_until_s)

    def may_start_in_next_lifetime(self, now_s: float) -> bool:
        """Return whether a start order may have reached the next lifetime, or may yet do so."""
        inherited = self.inherited_until_s is not None and now_s < self.inherited_until_s
        return self.unproven or self.doubtful or inherited


@dataclass(slots=True)
class ServerView:
    """One lifetime of a backend server.

    Attributes:
        lifetime: Identity of the lifetime.
        listing: Latest listing, None if only the ledger names the server.
        room: Capacity of the server and the tasks that use it.
        runs: Runs that are or may be on the server, by name of the task.
        listed: Whether the current listing includes the server.
        replaced: Whether another lifetime is known to have taken its place.
        clock: Reading of its clock, None if there is none yet.
        lease_end_s: When all its runs have been killed unless its lease is renewed.
        seen_end: Number of the last end that is in the ledger.
        read_end: Number of the last end that was read.
        withheld_end: Number of the first end that must not be acknowledged, None
            if every end may be. It reports as done a run whose task was started
            again, because the server could not be heard in time.
        last_response_s: When the server last answered a lease renewal, None before
            the first answer.
        unresponsive_since_s: When the server became unresponsive, None while it
            answers.
        unanswered: Count of consecutive orders without an answer.
        watched: Whether a thread renews the lease.
        failed_jobs: Jobs whose runs failed on the server since its last completed run.
        quarantined_until_s: Time before which the server gets only work that can start
            nowhere else.
        unhealthy_until_s: Time before which it gets no work, as it refuses it.
        lease_expired: Whether its runs were declared lost when its lease expired and
            it has not answered since; some of the runs may have completed.
        shutdown_at_s: Earliest time at which the server shuts down, None unless it is
            draining.
    """

    lifetime: str
    listing: Listing | None
    room: ServerCapacity
    runs: dict[str, RunView] = field(default_factory=dict)
    listed: bool = True
    replaced: bool = False
    clock: ClockReading | None = None
    lease_end_s: float = 0.0
    seen_end: int = 0
    read_end: int = 0
    withheld_end: int | None = None
    last_response_s: float | None = None
    unresponsive_since_s: float | None = None
    unanswered: int = 0
    watched: bool = False
    failed_jobs: set[str] = field(default_factory=set)
    quarantined_until_s: float = 0.0
    unhealthy_until_s: float = 0.0
    lease_expired: bool = False
    shutdown_at_s: float | None = None

    @property
    def acknowledgeable_end(self) -> int:
        """Number of the last end that was read and may be acknowledged."""
        if self.withheld_end is None:
            return self.read_end
        return min(self.read_end, self.withheld_end - 1)

    @property
    def ack_cursor(self) -> int:
        """Number of the last end that a lease renewal may acknowledge now.

        It is 0 while a run may be in the server's next lifetime: the numbers of
        ends start anew there, and its ends would be forgotten unread.
        """
        elsewhere = self.replaced or any(run.unproven for run in self.runs.values())
        return 0 if elsewhere else self.seen_end

    def note_clock(self, clock_ms: int, now_s: float) -> None:
        """Update the clock from an answer, unless the reading is missing (0)."""
        if clock_ms:
            self.clock = ClockReading(clock_ms, now_s)

    def note_listed_clock(self, clock_ms: int, now_s: float) -> None:
        """Update the clock from a listing, which may be older than the last answer."""
        later = self.clock is None or clock_ms > self.clock.earliest_ms(now_s)
        if clock_ms and later:
            self.clock = ClockReading(clock_ms, now_s)

    def clock_age_ms(self, now_s: float) -> int | None:
        """Return the age of the clock reading in milliseconds, None if there is none."""
        return None if self.clock is None else int((now_s - self.clock.read_s) * 1000)

    def grant_lease(self, end_s: float, now_s: float) -> int:
        """Record a lease and return its end on the server's clock.

        The end is counted from the least that the server's clock can show now.
        A slow clock has fallen behind by more the older its reading is, and
        would keep the lease for that much longer.

        Args:
            end_s: End of the lease on the leader's clock.
            now_s: Current time.

        Returns:
            The end in milliseconds of the server's clock; 0, which grants
            nothing, if there is no reading of that clock yet.
        """
        if self.clock is None:
            return 0
        killed_s = now_s + max(0.0, end_s - now_s) * CLOCK_DRIFT + LEASE_MARGIN_S
        self.lease_end_s = max(self.lease_end_s, killed_s)
        return int(self.clock.earliest_ms(now_s) + (end_s - now_s) * 1000)

    def admit(self, run: RunView, occupant: Occupant) -> None:
        """Add a run that is about to be started."""
        self.runs[run.task] = run
        self.room.put(occupant)

    def drop(self, task: str) -> None:
        """Remove a run."""
        self.runs.pop(task, None)
        self.room.remove(task)


@dataclass(slots=True)
class JobView:
    """Job that the ledger still holds.

    Attributes:
        job: The job as submitted.
        phase: Phase that callers see.
        steps: Steps of all due occurrences, by key.
        next_occurrence: Index of the first occurrence that is not due yet.
        ready_s: When each step became ready.
        failures_s: When a task of a step last failed or stalled on a server, by step
            and server.
        paused_until_s: Time before which a step is not placed again.
        ended_s: When the job ended, None before that.
    """

    job: Job
    phase: JobPhase = JobPhase.QUEUED
    steps: dict[StepKey, StepState] = field(default_factory=dict)
    next_occurrence: int = 0
    ready_s: dict[StepKey, float] = field(default_factory=dict)
    failures_s: dict[StepKey, dict[str, float]] = field(default_factory=dict)
    paused_until_s: dict[StepKey, float] = field(default_factory=dict)
    ended_s: float | None = None

    def note_failure(self, key: StepKey, server: str, now_s: float) -> None:
        """Record that a task of a step failed or stalled on a server."""
        self.failures_s.setdefault(key, {})[server] = now_s

    def avoided_servers(self, key: StepKey) -> frozenset[str]:
        """Return the servers that a step uses only if no other has capacity for it."""
        return frozenset(self.failures_s.get(key, ()))

    def barred_servers(self, key: StepKey, now_s: float) -> frozenset[str]:
        """Return the servers that a step uses for now only if no other may run it."""
        failures = self.failures_s.get(key, {})
        return frozenset(
            server for server, failed_s in failures.items() if now_s - failed_s < AVOIDANCE_S
        )

    def open_next(self) -> None:
        """Add the steps of the next occurrence, except those already known."""
        for i, step in enumerate(self.job.steps):
            key = StepKey(self.job.id, self.next_occurrence, i)
            if key not in self.steps:
                self.steps[key] = StepState(key, step, self.job)
        self.next_occurrence += 1

    def is_ready(self, state: StepState) -> bool:
        """Return whether all steps that a step depends on are done."""
        before = (StepKey(self.job.id, state.key.occurrence, i) for i in state.step.after)
        return all(self.steps[key].done for key in before if key in self.steps)

    @property
    def done(self) -> bool:
        """Whether all occurrences have completed."""
        due = self.next_occurrence >= self.job.occurrences
        return due and all(state.done for state in self.steps.values())
