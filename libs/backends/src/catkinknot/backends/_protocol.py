"""Requests to a backend server and its responses."""

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
"""Phase of a task on its server."""


@dataclass(frozen=True, order=True)
class Epoch:
    """Fencing epoch of a holder, ordered by term and then by bump.

    Attributes:
        term: The term that the holder won on the platform's log.
        bump: Above 0 if the holder took over while the log was unavailable;
            orders the take-overs within a term.
    """

    term: int
    bump: int = 0

    def __str__(self) -> str:
        """Return the epoch as ``term.bump``."""
        return f"{self.term}.{self.bump}"


@dataclass(frozen=True)
class Claim:
    """Request for the lease on a server.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        ttl_s: Seconds until the lease expires.
    """

    holder: str
    epoch: Epoch
    ttl_s: float


@dataclass(frozen=True)
class Reserve:
    """Request to reserve accelerators for one member of a gang.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        lease: Name of the reservation, unique for job and attempt.
        job: The job, as ``workspace/key``.
        attempt: The attempt's number.
        mask: A bit mask of the accelerators.
        ttl_s: Seconds until the reservation expires.
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
    """Request to start the task of a reservation.

    The member of a gang of one begins its work at once. Each member of a
    larger gang waits in the phase ``ready`` until it is first extended.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        lease: The reservation.
        ttl_s: Seconds until the task expires unless it is extended.
        rank: The member's rank in the gang; rank 0 returns the result.
        members: Number of servers in the gang.
        servers: All servers of the gang, by rank.
        kind: The kind of work.
        body: The body of the caller's request.
        progress_s: Seconds of work saved in the last checkpoint.
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
    """Request to extend the run time of started tasks.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        leases: The reservations of the tasks.
        ttl_s: Seconds until the tasks expire unless they are extended again.
    """

    holder: str
    epoch: Epoch
    leases: tuple[str, ...]
    ttl_s: float


@dataclass(frozen=True)
class Release:
    """Request to release a reservation that was not started.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        lease: The reservation.
    """

    holder: str
    epoch: Epoch
    lease: str


@dataclass(frozen=True)
class Stop:
    """Request to stop a running task.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        lease: The reservation of the task.
        checkpoint: Whether to save the task's progress first.
    """

    holder: str
    epoch: Epoch
    lease: str
    checkpoint: bool


@dataclass(frozen=True)
class Throttle:
    """Request to limit the speed of a running task, or to lift the limit.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        lease: The reservation of the task.
        percent: Share of its full speed that the task keeps, 1 to 100.
    """

    holder: str
    epoch: Epoch
    lease: str
    percent: int


@dataclass(frozen=True)
class Ack:
    """Acknowledgement of ended tasks, which lets the server forget them.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        leases: The reservations of the tasks.
    """

    holder: str
    epoch: Epoch
    leases: tuple[str, ...]


@dataclass(frozen=True)
class Poll:
    """Request to renew the lease on a server and to wait for task changes.

    Attributes:
        holder: The requesting instance and its lifetime, as ``instance:boot``.
        epoch: The holder's epoch.
        ttl_s: Seconds until the lease expires.
        after: The number of the newest event that the holder has seen.
        wait_s: Seconds that the server holds the request open.
        extend_s: Seconds by which all started tasks are extended.
    """

    holder: str
    epoch: Epoch
    ttl_s: float
    after: int
    wait_s: float
    extend_s: float


@dataclass(frozen=True)
class TaskReport:
    """State of one task on its server.

    Attributes:
        lease: The task's reservation.
        job: The job, as ``workspace/key``.
        attempt: The attempt's number.
        mask: A bit mask of the task's accelerators.
        phase: The task's phase.
        rank: The member's rank in the gang.
        servers: All servers of the gang, by rank.
        kind: The kind of work.
        confirmed: Whether the task was extended after its start.
        began: Whether the task has done any of its work.
        checkpointed: Whether the task stopped after saving its progress.
        ran_s: Seconds that the task has run.
        progress_s: Seconds of work saved in the last checkpoint.
        used_percent: Utilization of the task's accelerators, measured with a
            lag.
        message: Why the task failed.
        result: The task's result, from rank 0 only.
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
    """Full state of a server, returned for a claim.

    Attributes:
        server: The server's name.
        epoch: The epoch of the server's lease.
        tasks: The server's tasks, including ended ones that are not yet
            acknowledged.
        reserved: The names of reservations that were not started.
        newest: The number of the newest event.
        boot: Identifier of the server's lifetime; a restarted server has a
            new one and no state from before.
    """

    server: str
    epoch: Epoch
    tasks: tuple[TaskReport, ...]
    reserved: tuple[str, ...] = ()
    newest: int = 0
    boot: str = ""


@dataclass(frozen=True)
class PollReply:
    """Changes on a server, returned for a poll.

    Attributes:
        newest: The number of the newest event.
        boot: Identifier of the server's lifetime; a restarted server has a
            new one and no state from before.
        tasks: The tasks that changed after the polled event.
    """

    newest: int
    boot: str
    tasks: tuple[TaskReport, ...] = field(default=())


@dataclass(frozen=True)
class Granted:
    """Response to a request that was carried out, now or in an earlier try."""


@dataclass(frozen=True)
class Refusal:
    """Response to a request that was not carried out.

    Attributes:
        reason: Code of the reason.
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
