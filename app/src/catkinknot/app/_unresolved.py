"""Find out whether a start happened whose answer is not known."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from catkinknot.backends import BackendClient, Claim, Epoch, Release, ServerState
from catkinknot.backends.exceptions import BackendError, BackendRefusedError
from catkinknot.scheduler import Job

__all__ = ["StartResolution", "UnresolvedStart", "resolve_start"]

_LOST_AFTER_S = 600.0
"""Call a job lost when its servers have not answered for this long."""


class StartResolution(Enum):
    """Say what is known of a doubtful start."""

    UNRESOLVED = "not yet"
    RUNNING = "running"
    NEVER_STARTED = "never started"
    LOST = "lost"


@dataclass(frozen=True)
class UnresolvedStart:
    """Hold a start of a job that must not run twice.

    Attributes:
        job: The job.
        attempt: The attempt.
        lease: The name of its reservations.
        servers: The servers that may have started it.
        boots: The run of each server at the time.
        since_s: When the doubt began.
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
    """Ask every server of a start what it knows.

    The reservation is given up first, so that a start that is still on its
    way will be refused. Only then does "no such task" mean "never".

    Args:
        start: The start.
        find: Returns the client of a server.
        holder: This instance.
        epoch: Its epoch.
        ttl_s: Seconds until its lease on a server lapses.
        now: The present time in seconds.

    Returns:
        What is known.
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
    """Give the reservation up and read what the server holds."""
    try:
        client = find(server)
        try:
            client.release(Release(holder, epoch, start.lease))
        except BackendRefusedError:
            # Under a new epoch, or a lapsed lease, the claim that follows
            # drops or shows the reservation.
            pass
        return client.claim(Claim(holder, epoch, ttl_s))
    except BackendError:
        return None


def _evaluate(start: UnresolvedStart, states: list[ServerState]) -> StartResolution:
    """Judge by what all servers hold."""
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
    """Tell whether every server still remembers the time of the start."""
    return all(state.boot == boot for state, boot in zip(states, start.boots, strict=True))


def _evaluate_partial(name: tuple[str, int], reporting: list[ServerState]) -> StartResolution:
    """Judge a start that some servers, or all, know nothing of."""
    tasks = [
        task for state in reporting for task in state.tasks if (task.job, task.attempt) == name
    ]
    if any(task.phase in ("ready", "running", "stopping") for task in tasks):
        return StartResolution.UNRESOLVED
    return (
        StartResolution.LOST if any(task.began for task in tasks) else StartResolution.NEVER_STARTED
    )
