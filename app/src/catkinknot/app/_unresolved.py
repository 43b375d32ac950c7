"""Find out whether a start happened whose answer is not known."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from catkinknot.backends import BackendClient, Claim, Epoch, Release, ServerState
from catkinknot.backends.exceptions import BackendError, BackendRefusedError
from catkinknot.scheduler import Job

__all__ = ["Doubt", "DoubtAnswer", "judge_doubt"]

_LOST_AFTER_S = 600.0
"""Call a job lost when its servers have not answered for this long."""


class DoubtAnswer(Enum):
    """Say what is known of a doubtful start."""

    NOT_YET = "not yet"
    RUNNING = "running"
    NEVER_STARTED = "never started"
    LOST = "lost"


@dataclass(frozen=True)
class Doubt:
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


def judge_doubt(
    doubt: Doubt,
    find: Callable[[str], BackendClient],
    *,
    holder: str,
    epoch: Epoch,
    ttl_s: float,
    now: float,
) -> DoubtAnswer:
    """Ask every server of a start what it knows.

    The reservation is given up first, so that a start that is still on its
    way will be refused. Only then does "no such task" mean "never".

    Args:
        doubt: The start.
        find: Returns the client of a server.
        holder: This instance.
        epoch: Its epoch.
        ttl_s: Seconds until its lease on a server lapses.
        now: The present time in seconds.

    Returns:
        What is known.
    """
    states = []
    for server in doubt.servers:
        state = _ask(doubt, find, server, holder, epoch, ttl_s)
        if state is None:
            late = now - doubt.since_s > _LOST_AFTER_S
            return DoubtAnswer.LOST if late else DoubtAnswer.NOT_YET
        states.append(state)
    return _judge(doubt, states)


def _ask(
    doubt: Doubt,
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
            client.release(Release(holder, epoch, doubt.lease))
        except BackendRefusedError:
            # Under a new epoch, or a lapsed lease, the claim that follows
            # drops or shows the reservation.
            pass
        return client.claim(Claim(holder, epoch, ttl_s))
    except BackendError:
        return None


def _judge(doubt: Doubt, states: list[ServerState]) -> DoubtAnswer:
    """Judge by what all servers hold."""
    name = (str(doubt.job.job_id), doubt.attempt)
    knowing = [s for s in states if any((t.job, t.attempt) == name for t in s.tasks)]
    if len(knowing) == len(states):
        return DoubtAnswer.RUNNING
    if any(doubt.lease in state.reserved for state in states):
        return DoubtAnswer.NOT_YET
    if not _same_runs(doubt, states):
        return DoubtAnswer.LOST
    return _judge_partial(name, knowing)


def _same_runs(doubt: Doubt, states: list[ServerState]) -> bool:
    """Tell whether every server still remembers the time of the start."""
    return all(state.boot == boot for state, boot in zip(states, doubt.boots, strict=True))


def _judge_partial(name: tuple[str, int], knowing: list[ServerState]) -> DoubtAnswer:
    """Judge a start that some servers, or all, know nothing of."""
    tasks = [task for state in knowing for task in state.tasks if (task.job, task.attempt) == name]
    if any(task.phase in ("ready", "running", "stopping") for task in tasks):
        return DoubtAnswer.NOT_YET
    return DoubtAnswer.LOST if any(task.began for task in tasks) else DoubtAnswer.NEVER_STARTED
