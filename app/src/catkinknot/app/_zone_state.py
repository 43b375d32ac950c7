"""Define the state that the parts of a zone session share."""

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
    """State of a zone under one epoch.

    Attributes:
        context: The context of this instance.
        epoch: The epoch under which this instance holds the zone.
        cfg: The configuration in force.
        planner: Decides which jobs to start and stop.
        lock: Guards all other attributes.
        closed: Whether this instance no longer holds the zone under this epoch.
        board: The gangs reported by servers.
        waiters: The callers that wait for jobs.
        recent_outcomes: The recent outcomes of jobs that are not on the log.
        health: Decides from job failures which servers to quarantine.
        issues: The reasons not to start new work on servers.
        unresolved: The starts whose outcome is unknown.
        stubs: Adopted jobs whose request is unknown until the caller repeats it.
        leases: The lease of the current start of each job.
        starting: The jobs and attempts whose start is in progress.
        watches: The watch of each server.
        boots: The current boot identifier of each server.
        claimed: The servers whose lease this instance holds.
        acks: Pending acknowledgements as due time, server and lease.
        unconfirmed: The gangs whose end is not on the log yet.
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
        """Allow new work on a server if it is claimed and has no issue, else forbid it."""
        cordoned = server not in self.claimed or self.issues.any(server)
        self.planner.fleet.set_cordoned(server, cordoned)

    def clear_attempt(
        self, job_id: JobId, attempt: int, reason: str, *, began: bool = False
    ) -> None:
        """Record on the log that an attempt is not running, so that another may start."""
        record = AttemptCleared(job_id, attempt, self.epoch.term, reason, began)
        self.context.appender.append(record)

    def record_event(self, job_id: JobId, name: str, text: str = "", **cause) -> None:
        """Add an event of a job to the timeline."""
        self.context.ring.add(
            "scheduler",
            name,
            text,
            job=str(job_id),
            zone=self.context.zone,
            epoch=str(self.epoch),
            **cause,
        )
