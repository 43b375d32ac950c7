"""Hold what the leader knows of servers, runs and jobs."""

from dataclasses import dataclass, field

from catkinknot.jobs import Job, JobPhase, StepKey, StepState
from catkinknot.packing import Occupant, Room

from ._servers import Listing

__all__ = ["JobView", "RunView", "ServerView"]

CLOCK_DRIFT = 1.021
"""How much slower than ours a server's clock may run."""

LEASE_MARGIN_S = 0.1
"""Added to the end of a lease before its work counts as killed."""


@dataclass(slots=True)
class RunView:
    """Know one run on one server.

    Attributes:
        task: Name of the task.
        key: The step it belongs to.
        index: Which task of the step.
        run: Its number.
        assigned_s: When it was decided.
        start_resolved_s: When it became certain that no order can start it any more,
            or that it was started; None while an order may be on its way.
        confirmed: Whether the server has said that it is there.
        stopping: Whether it has been told to stop.
        stop_sent_s: When it was last told to stop.
        stop_acknowledged: Whether its server has answered that.
        doubtful: Whether an order to start it got no answer.
        checkpoint: Latest progress the server has saved.
        checkpoint_seen_s: When that progress was seen first.
        percent: Progress, as the server says.
        last_progress_s: When that progress changed last, None before the server listed it.
    """

    task: str
    key: StepKey
    index: int
    run: int
    assigned_s: float
    start_resolved_s: float | None = None
    confirmed: bool = False
    stopping: bool = False
    stop_sent_s: float = 0.0
    stop_acknowledged: bool = False
    doubtful: bool = False
    checkpoint: str = ""
    checkpoint_seen_s: float = 0.0
    percent: int = 0
    last_progress_s: float | None = None


@dataclass(slots=True)
class ServerView:
    """Know one lifetime of a backend server.

    Attributes:
        lifetime: Its lifetime.
        listing: What it said of itself, None if only the ledger names it.
        room: Who takes its capacity.
        runs: The runs that are or may be there, by name of the task.
        listed: Whether it is listed now.
        clock_ahead_ms: Its clock less ours, never more than it really is.
        lease_end_s: When all that it runs has been killed unless it hears from us.
        seen_end: Highest end that is in the ledger.
        read_end: Highest end that was read.
        last_response_s: When it last answered, None if it never did.
        unresponsive_since_s: When it first failed to answer, None while it answers.
        unanswered: Orders in a row that got no answer.
        watched: Whether a thread renews its lease.
        failed_jobs: Jobs whose runs failed there, with none done since.
        quarantined_until_s: Until when it gets no new work.
        lease_expired: Whether its runs were given up and it has not answered since;
            it may have ended some of them well.
        shutdown_at_s: When it leaves at the earliest, None while it does not drain.
    """

    lifetime: str
    listing: Listing | None
    room: Room
    runs: dict[str, RunView] = field(default_factory=dict)
    listed: bool = True
    clock_ahead_ms: float | None = None
    lease_end_s: float = 0.0
    seen_end: int = 0
    read_end: int = 0
    last_response_s: float | None = None
    unresponsive_since_s: float | None = None
    unanswered: int = 0
    watched: bool = False
    failed_jobs: set[str] = field(default_factory=set)
    quarantined_until_s: float = 0.0
    lease_expired: bool = False
    shutdown_at_s: float | None = None

    def note_clock(self, clock_ms: int, now_s: float) -> None:
        """Take a reading of the server's clock."""
        if clock_ms:
            self.clock_ahead_ms = clock_ms - now_s * 1000

    def until_ms(self, end_s: float, now_s: float) -> int:
        """Return a time of ours on the server's clock, and remember the lease.

        Args:
            end_s: When the lease is to end.
            now_s: The present time.
        """
        ahead = self.clock_ahead_ms or 0.0
        killed_s = now_s + max(0.0, end_s - now_s) * CLOCK_DRIFT + LEASE_MARGIN_S
        self.lease_end_s = max(self.lease_end_s, killed_s)
        return int(end_s * 1000 + ahead)

    def admit(self, run: RunView, occupant: Occupant) -> None:
        """Note a run that is about to be started."""
        self.runs[run.task] = run
        self.room.put(occupant)

    def drop(self, task: str) -> None:
        """Note that a run is gone."""
        self.runs.pop(task, None)
        self.room.remove(task)


@dataclass(slots=True)
class JobView:
    """Know one job that has not ended.

    Attributes:
        job: What its caller handed in.
        phase: What callers are told.
        steps: Its steps by key, for the occurrences that are due.
        next_occurrence: The first that is not due yet.
        ready_s: When each step became ready.
        suspects: Servers on which tasks of a step have failed.
        paused_until_s: Until when a step is not tried again.
        ended_s: When it ended, None while it has not.
    """

    job: Job
    phase: JobPhase = JobPhase.QUEUED
    steps: dict[StepKey, StepState] = field(default_factory=dict)
    next_occurrence: int = 0
    ready_s: dict[StepKey, float] = field(default_factory=dict)
    suspects: dict[StepKey, set[str]] = field(default_factory=dict)
    paused_until_s: dict[StepKey, float] = field(default_factory=dict)
    ended_s: float | None = None

    def open_next(self) -> None:
        """Add the steps of the next occurrence that have none yet."""
        for i, step in enumerate(self.job.steps):
            key = StepKey(self.job.id, self.next_occurrence, i)
            if key not in self.steps:
                self.steps[key] = StepState(key, step, self.job)
        self.next_occurrence += 1

    def is_ready(self, state: StepState) -> bool:
        """Tell whether all steps that a step waits for are done."""
        before = (StepKey(self.job.id, state.key.occurrence, i) for i in state.step.after)
        return all(self.steps[key].done for key in before if key in self.steps)

    @property
    def done(self) -> bool:
        """Whether all occurrences have ended well."""
        due = self.next_occurrence >= self.job.occurrences
        return due and all(state.done for state in self.steps.values())
