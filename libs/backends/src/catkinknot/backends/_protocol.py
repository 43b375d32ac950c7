"""Define what is said to and by a backend server."""

from dataclasses import field
from typing import Any, Literal

from pydantic.dataclasses import dataclass

from catkinknot.model import JobResult

__all__ = [
    "Ack",
    "Claim",
    "Epoch",
    "Extend",
    "Granted",
    "Poll",
    "PollReply",
    "Refusal",
    "Release",
    "Reserve",
    "ServerState",
    "Start",
    "Stop",
    "TaskPhase",
    "TaskReport",
    "Throttle",
]

TaskPhase = Literal["ready", "running", "stopping", "done", "failed", "stopped", "lapsed"]
"""Where a task stands on its server."""


@dataclass(frozen=True, order=True)
class Epoch:
    """Order the holders of a server's lease.

    Attributes:
        term: The term that the holder won on the platform's log.
        bump: Take-overs since, made while the log was out.
    """

    term: int
    bump: int = 0

    def __str__(self) -> str:
        """Write the epoch as ``term.bump``."""
        return f"{self.term}.{self.bump}"


@dataclass(frozen=True)
class Claim:
    """Ask for the lease on a server.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        ttl_s: Seconds until the lease lapses.
    """

    holder: str
    epoch: Epoch
    ttl_s: float


@dataclass(frozen=True)
class Reserve:
    """Reserve accelerators for one member of a gang.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        lease: A name for the reservation, unique for job and attempt.
        job: The job, as ``workspace/key``.
        attempt: The attempt.
        mask: A bit mask of the accelerators.
        ttl_s: Seconds until the reservation lapses.
    """

    holder: str
    epoch: Epoch
    lease: str
    job: str
    attempt: int
    mask: int
    ttl_s: float


@dataclass(frozen=True)
class Start:
    """Start the task of a reservation.

    The only member of a gang begins its work at once. Each of several waits,
    ready, until it is extended for the first time.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        lease: The reservation.
        ttl_s: Seconds that the task may run before it must be extended.
        rank: The member's number in the gang, 0 for the one that answers.
        members: Servers in the gang.
        servers: All servers of the gang, by rank.
        kind: The kind of work.
        body: What the caller asked for.
        progress_s: Seconds of work that a checkpoint keeps.
    """

    holder: str
    epoch: Epoch
    lease: str
    ttl_s: float
    rank: int
    members: int
    servers: tuple[str, ...]
    kind: str
    body: dict[str, Any]
    progress_s: float = 0.0


@dataclass(frozen=True)
class Extend:
    """Let started tasks run on.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        leases: The tasks' reservations.
        ttl_s: Seconds until they must be extended again.
    """

    holder: str
    epoch: Epoch
    leases: tuple[str, ...]
    ttl_s: float


@dataclass(frozen=True)
class Release:
    """Give up a reservation that was not started.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        lease: The reservation.
    """

    holder: str
    epoch: Epoch
    lease: str


@dataclass(frozen=True)
class Stop:
    """Stop a running task.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        lease: The task's reservation.
        checkpoint: Whether to save its progress first.
    """

    holder: str
    epoch: Epoch
    lease: str
    checkpoint: bool


@dataclass(frozen=True)
class Throttle:
    """Slow a running task down, or let it run freely again.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        lease: The task's reservation.
        percent: How much of its speed it keeps, 1 to 100.
    """

    holder: str
    epoch: Epoch
    lease: str
    percent: int


@dataclass(frozen=True)
class Ack:
    """Let the server forget tasks that have ended.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        leases: The tasks' reservations.
    """

    holder: str
    epoch: Epoch
    leases: tuple[str, ...]


@dataclass(frozen=True)
class Poll:
    """Renew the lease on a server and wait for news.

    Attributes:
        holder: The asking instance.
        epoch: Its epoch.
        ttl_s: Seconds until the lease lapses.
        after: The newest event number seen.
        wait_s: Seconds that the server holds the request open.
        extend_s: Seconds that all started tasks may run on.
    """

    holder: str
    epoch: Epoch
    ttl_s: float
    after: int
    wait_s: float
    extend_s: float


@dataclass(frozen=True)
class TaskReport:
    """Tell how one task stands.

    Attributes:
        lease: Its reservation.
        job: The job, as ``workspace/key``.
        attempt: The attempt.
        mask: A bit mask of its accelerators.
        phase: Where it stands.
        rank: The member's number in the gang.
        servers: All servers of the gang, by rank.
        kind: The kind of work.
        confirmed: Whether it was extended after its start.
        began: Whether it ever did any of its work.
        checkpointed: Whether it stopped after saving its progress.
        ran_s: Seconds that it has run.
        progress_s: Seconds of work that a checkpoint keeps.
        used_percent: How busy its accelerators were; it lags.
        message: Why it failed.
        result: What it produced, from rank 0 only.
    """

    lease: str
    job: str
    attempt: int
    mask: int
    phase: TaskPhase
    rank: int
    servers: tuple[str, ...]
    kind: str = ""
    confirmed: bool = False
    began: bool = False
    checkpointed: bool = False
    ran_s: float = 0.0
    progress_s: float = 0.0
    used_percent: float = 0.0
    message: str = ""
    result: JobResult | None = None


@dataclass(frozen=True)
class ServerState:
    """Tell everything that a server holds.

    Attributes:
        server: The server.
        epoch: The epoch of its lease.
        tasks: Its tasks, ended ones too until they are acknowledged.
        reserved: The names of reservations that were not started.
        newest: The newest event number.
        boot: Names the server's run; it knows nothing from before.
    """

    server: str
    epoch: Epoch
    tasks: tuple[TaskReport, ...]
    reserved: tuple[str, ...] = ()
    newest: int = 0
    boot: str = ""


@dataclass(frozen=True)
class PollReply:
    """Tell the news of a server.

    Attributes:
        newest: The newest event number.
        boot: Names the server's run; it knows nothing from before.
        tasks: The tasks that changed since.
    """

    newest: int
    boot: str
    tasks: tuple[TaskReport, ...] = field(default=())


@dataclass(frozen=True)
class Granted:
    """Say that a request was carried out, now or before."""


@dataclass(frozen=True)
class Refusal:
    """Say that a request was not carried out.

    Attributes:
        reason: Why, in one word.
        epoch: The epoch of the server's lease.
    """

    reason: Literal[
        "old_epoch",
        "held",
        "lapsed",
        "foreign",
        "busy",
        "unknown",
        "ended",
        "no_room",
        "bad_request",
        "broken",
    ]
    epoch: Epoch
