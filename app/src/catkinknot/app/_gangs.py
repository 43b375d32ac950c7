"""Combine the reports of the members of a gang."""

from dataclasses import dataclass, field

from catkinknot.backends import TaskReport
from catkinknot.placement import Placement, Slice

__all__ = ["Gang", "GangRegistry"]

_ACTIVE = ("ready", "running", "stopping")


@dataclass
class Gang:
    """Tasks that one start of a job created on its servers.

    The lease identifies a start: each holder of the zone restarts the count
    of attempts for idempotent jobs, so attempt numbers are not unique.

    Attributes:
        lease: The name of the members' reservations.
        job: The job, as ``workspace/key``.
        attempt: The attempt.
        servers: All servers of the gang, by rank.
        pending_since_s: When the gang was first reported or last rechecked.
        reports: The newest report of each server.
        lost: Servers that do not answer or no longer know the task.
    """

    lease: str
    job: str
    attempt: int
    servers: tuple[str, ...]
    pending_since_s: float
    reports: dict[str, TaskReport] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)

    @property
    def placement(self) -> Placement:
        """The accelerators of all members with a report."""
        return Placement(tuple(Slice(s, self.reports[s].mask) for s in sorted(self.reports)))

    @property
    def complete(self) -> bool:
        """Whether every member is active."""
        return all(s in self.reports and self.reports[s].phase in _ACTIVE for s in self.servers)

    @property
    def all_ended(self) -> bool:
        """Whether every member has ended or is lost."""
        return all(
            s in self.lost or (s in self.reports and self.reports[s].phase not in _ACTIVE)
            for s in self.servers
        )

    @property
    def active(self) -> list[str]:
        """The servers whose member is active and not lost."""
        return [s for s, r in self.reports.items() if r.phase in _ACTIVE and s not in self.lost]

    def reports_in_phase(self, phase: str) -> list[TaskReport]:
        """Return the reports of members in a phase."""
        return [report for report in self.reports.values() if report.phase == phase]

    @property
    def result_report(self) -> TaskReport | None:
        """The report with the result, None before it has arrived."""
        done = [r for r in self.reports_in_phase("done") if r.rank == 0]
        return done[0] if done else None

    @property
    def failure(self) -> tuple[str, TaskReport] | None:
        """The first reported server whose member failed, with its report."""
        failed = [(s, r) for s, r in self.reports.items() if r.phase == "failed"]
        return failed[0] if failed else None

    @property
    def began(self) -> bool:
        """Whether any member may have begun its work."""
        return bool(self.lost) or any(report.began for report in self.reports.values())

    @property
    def checkpointed(self) -> bool:
        """Whether every member stopped after writing a checkpoint."""
        return all(s in self.reports and self.reports[s].checkpointed for s in self.servers)

    @property
    def progress_s(self) -> float:
        """Seconds of work that the checkpoints of all members cover."""
        return min((r.progress_s for r in self.reports.values()), default=0.0)


class GangRegistry:
    """Registry of the gangs reported by servers, by lease."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._gangs: dict[str, Gang] = {}

    def add_report(self, server: str, report: TaskReport, now: float) -> Gang:
        """Add a task report to its gang.

        Args:
            server: The server that sent the report.
            report: The report.
            now: The current time in seconds.

        Returns:
            The gang of the task.
        """
        gang = self.find_or_add(report.lease, report.job, report.attempt, report.servers, now)
        gang.reports[server] = report
        gang.lost.discard(server)
        return gang

    def find_or_add(
        self, lease: str, job: str, attempt: int, servers: tuple[str, ...], now: float
    ) -> Gang:
        """Return the gang of a lease, a new one without reports if unknown.

        Args:
            lease: The name of the members' reservations.
            job: The job, as ``workspace/key``.
            attempt: The attempt.
            servers: All servers of the gang, by rank.
            now: The current time in seconds.

        Returns:
            The gang.
        """
        gang = self._gangs.get(lease)
        if gang is None:
            gang = Gang(lease, job, attempt, servers, now)
            self._gangs[lease] = gang
        return gang

    def find(self, lease: str) -> Gang | None:
        """Return the gang of a lease, or None."""
        return self._gangs.get(lease)

    def remove(self, gang: Gang) -> None:
        """Remove a gang whose end was handled."""
        self._gangs.pop(gang.lease, None)

    def mark_server_lost(self, server: str) -> list[Gang]:
        """Mark the members on a server as lost.

        Args:
            server: The server.

        Returns:
            The gangs that have a member on the server.
        """
        affected = [gang for gang in self._gangs.values() if server in gang.servers]
        for gang in affected:
            gang.lost.add(server)
        return affected

    def gangs(self) -> list[Gang]:
        """Return all gangs."""
        return list(self._gangs.values())
