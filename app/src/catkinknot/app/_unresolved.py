"""Find out from the servers whether a start whose answer is unknown happened."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from catkinknot.backends import BackendClient, Claim, Epoch, Release, ServerState
from catkinknot.backends.exceptions import BackendError, BackendRefusedError
from catkinknot.scheduler import Job

__all__ = ["StartResolution", "UnresolvedStart", "resolve_start"]

_LOST_AFTER_S = 600.0
"""A job counts as lost once one of its servers has not answered for this long."""


class StartResolution(Enum):
    """Result of an attempt to resolve a start."""

    UNRESOLVED = "unresolved"
    RUNNING = "running"
    NEVER_STARTED = "never started"
    LOST = "lost"


@dataclass(frozen=True)
class UnresolvedStart:
    """Start of a job that must not run twice, with an unknown outcome.

    Attributes:
        job: The job.
        attempt: The attempt.
        lease: The name of the members' reservations.
        servers: The servers that may have started a member.
        boots: The boot identifier of each server at the time of the start.
        since_s: When the outcome became unknown.
    """

    job: Job
    attempt: int
    lease: str
    servers: tuple[str, ...]
    boots: tuple[str, ...]
    since_s: float


def resolve_start(
    start: UnresolvedStart,
    find: Callable[[str], BackendClient],
    *,
    holder: str,
    epoch: Epoch,
    ttl_s: float,
    now: float,
) -> StartResolution:
    """Query every server of a start for its tasks and resolve the start.

    The reservation is released first, so that the server refuses a start
    request that is still in transit. Only then does the absence of a task
    prove that it never started.

    Args:
        start: The start.
        find: Returns the client of a server.
        holder: The holder name of this process.
        epoch: The epoch under which this instance holds the servers.
        ttl_s: Seconds until its lease on a server lapses.
        now: The current time in seconds.

    Returns:
        The resolution.
    """
    states = []
    for server in start.servers:
        state = _query_server(start, find, server, holder, epoch, ttl_s)
        if state is None:
            late = now - start.since_s > _LOST_AFTER_S
            return StartResolution.LOST if late else StartResolution.UNRESOLVED
        states.append(state)
    return _evaluate(start, states)


def _query_server(
    start: UnresolvedStart,
    find: Callable[[str], BackendClient],
    server: str,
    holder: str,
    epoch: Epoch,
    ttl_s: float,
) -> ServerState | None:
    """Release the reservation and return the server's state, None if it failed."""
    try:
        client = find(server)
        try:
            client.release(Release(holder, epoch, start.lease))
        except BackendRefusedError:
            # The server refuses a release under a new epoch or a lapsed lease.
            # The claim that follows then drops or reports the reservation.
            pass
        return client.claim(Claim(holder, epoch, ttl_s))
    except BackendError:
        return None


def _evaluate(start: UnresolvedStart, states: list[ServerState]) -> StartResolution:
    """Resolve a start from the states of all its servers."""
    name = (str(start.job.job_id), start.attempt)
    reporting = [s for s in states if any((t.job, t.attempt) == name for t in s.tasks)]
    if len(reporting) == len(states):
        return StartResolution.RUNNING
    if any(start.lease in state.reserved for state in states):
        return StartResolution.UNRESOLVED
    if not _same_boots(start, states):
        return StartResolution.LOST
    return _evaluate_partial(name, reporting)


def _same_boots(start: UnresolvedStart, states: list[ServerState]) -> bool:
    """Return whether no server has restarted since the start and forgotten its tasks."""
    return all(state.boot == boot for state, boot in zip(states, start.boots, strict=True))


def _evaluate_partial(name: tuple[str, int], reporting: list[ServerState]) -> StartResolution:
    """Resolve a start whose task is missing on at least one server."""
    tasks = [
        task for state in reporting for task in state.tasks if (task.job, task.attempt) == name
    ]
    if any(task.phase in ("ready", "running", "stopping") for task in tasks):
        return StartResolution.UNRESOLVED
    return (
        StartResolution.LOST if any(task.began for task in tasks) else StartResolution.NEVER_STARTED
    )
