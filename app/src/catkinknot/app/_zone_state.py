"""Hold what the parts of one zone's session share."""

import threading
from dataclasses import dataclass, field

from catkinknot.backends import Epoch, ServerHealth, ServerWatch
from catkinknot.model import Configuration, JobId
from catkinknot.platformlog import AttemptCleared
from catkinknot.scheduler import Planner

from ._context import InstanceContext
from ._gangs import Gang, GangRegistry
from ._servers import ServerIssues
from ._unresolved import UnresolvedStart
from ._waiters import RecentOutcomes, Waiters

__all__ = ["ZoneState"]


@dataclass
class ZoneState:
    """Hold the state of a zone under one epoch; its lock guards all of it.

    Attributes:
        context: The shared parts of the process.
        epoch: The epoch under which this instance holds the zone.
        cfg: The configuration in force.
        planner: Decides.
        lock: Guards everything here.
        closed: Whether the epoch is over for this instance.
        board: What servers report of gangs.
        waiters: Who waits for a job.
        recent_outcomes: Answers given lately.
        health: Judges servers by their failures.
        issues: Servers that are not in full use.
        unresolved: Starts whose outcome is not known.
        stubs: Jobs that only their servers know.
        leases: The lease of the present start of each job.
        starting: Jobs and attempts whose start is under way.
        watches: One for each server.
        boots: The present run of each server.
        claimed: Servers that are held.
        acks: When to acknowledge which lease to which server.
        unconfirmed: Gangs whose end is not on the log yet.
    """

    context: InstanceContext
    epoch: Epoch
    cfg: Configuration
    planner: Planner
    lock: threading.RLock = field(default_factory=threading.RLock)
    closed: bool = False
    board: GangRegistry = field(default_factory=GangRegistry)
    waiters: Waiters = field(default_factory=Waiters)
    recent_outcomes: RecentOutcomes = field(default_factory=RecentOutcomes)
    health: ServerHealth = field(default_factory=ServerHealth)
    issues: ServerIssues = field(default_factory=ServerIssues)
    unresolved: dict[JobId, UnresolvedStart] = field(default_factory=dict)
    stubs: set[JobId] = field(default_factory=set)
    leases: dict[JobId, str] = field(default_factory=dict)
    starting: set[tuple[JobId, int]] = field(default_factory=set)
    watches: dict[str, ServerWatch] = field(default_factory=dict)
    boots: dict[str, str] = field(default_factory=dict)
    claimed: set[str] = field(default_factory=set)
    acks: list[tuple[float, str, str]] = field(default_factory=list)
    unconfirmed: dict[JobId, Gang] = field(default_factory=dict)

    def update_cordon(self, server: str) -> None:
        """Allow or forbid new work on a server by what is known of it."""
        off = server not in self.claimed or self.issues.any(server)
        self.planner.fleet.set_cordoned(server, off)

    def clear_attempt(
        self, job_id: JobId, attempt: int, reason: str, *, began: bool = False
    ) -> None:
        """Record that an attempt is not running, so that another may follow."""
        record = AttemptCleared(job_id, attempt, self.epoch.term, reason, began)
        self.context.appender.append(record)

    def record_event(self, job_id: JobId, name: str, text: str = "", **cause) -> None:
        """Add an event of a job to the time line."""
        self.context.ring.add(
            "scheduler",
            name,
            text,
            job=str(job_id),
            zone=self.context.zone,
            epoch=str(self.epoch),
            **cause,
        )
