"""Resend unacknowledged stops, stop stalled runs and purge ended jobs."""

from catkinknot.jobs import CANCEL_SUFFIX, PHASE_SUFFIX
from catkinknot.model import Clock

from ._cluster_state import QUARANTINE_S, ClusterState
from ._recorder import Recorder
from ._store import JOBS, RUNS
from ._views import RunView, ServerView

__all__ = ["purge_ended_jobs", "resend_stops", "stop_stalled"]

STALL_TIMEOUT_S = 4.0
"""Time without progress after which a run counts as stalled."""

DONE_PERCENT = 100

ENDED_JOB_RETENTION_S = 300.0
"""How long the state of a job can be read after its end; callers need 120 s."""

STOP_RESEND_S = 1.0
"""Time after which a stop that was not confirmed is sent again."""


def resend_stops(cluster: ClusterState, clock: Clock) -> None:
    """Send unacknowledged stops again to servers that are responsive."""
    now_s = clock.now()
    for view in cluster.servers.values():
        if view.unresponsive_since_s is not None:
            continue
        for run in list(view.runs.values()):
            unacknowledged = run.stopping and not run.stop_acknowledged
            if unacknowledged and now_s - run.stop_sent_s > STOP_RESEND_S:
                run.stop_sent_s = now_s
                cluster.send_stop(view, run, "the previous stop got no answer")


def stop_stalled(cluster: ClusterState, clock: Clock) -> None:
    """Stop runs that make no progress on a responsive server.

    A server with a stalled single task is quarantined. A gang may stall
    because of any one of its members, so only the gang itself avoids their
    servers.
    """
    now_s = clock.now()
    for view in list(cluster.servers.values()):
        if view.last_response_s is None or now_s - view.last_response_s > STALL_TIMEOUT_S / 2:
            continue
        for run in list(view.runs.values()):
            if _is_stalled(cluster, run, now_s):
                _abandon_run(cluster, view, run, now_s)


def purge_ended_jobs(cluster: ClusterState, recorder: Recorder, clock: Clock) -> None:
    """Drop the records of jobs that ended long ago and have nothing running."""
    now_s = clock.now()
    busy = {run.key.job for view in cluster.servers.values() for run in view.runs.values()}
    for view in list(cluster.jobs.values()):
        if not view.phase.final or view.job.id in busy:
            continue
        if view.ended_s is None:
            # The job ended under an earlier leader; its retention restarts now.
            view.ended_s = now_s
        if now_s - view.ended_s < ENDED_JOB_RETENTION_S:
            continue
        for key in view.steps:
            recorder.put(RUNS, str(key), b"")
        for suffix in (CANCEL_SUFFIX, PHASE_SUFFIX, ""):
            recorder.put(JOBS, view.job.id + suffix, b"")
        cluster.remove_job(view.job.id)


def _is_stalled(cluster: ClusterState, run: RunView, now_s: float) -> bool:
    """Return whether a run has stalled."""
    job = cluster.jobs.get(run.key.job)
    if job is None or run.stopping or run.last_progress_s is None:
        return False
    if job.job.steps[run.key.step].service or run.percent >= DONE_PERCENT:
        return False
    return now_s - run.last_progress_s > STALL_TIMEOUT_S


def _abandon_run(cluster: ClusterState, view: ServerView, run: RunView, now_s: float) -> None:
    """Stop a stalled run, and avoid its server."""
    job = cluster.jobs[run.key.job]
    job.note_failure(run.key, view.lifetime, now_s)
    state = job.steps[run.key]
    if not state.step.gang or state.step.count == 1:
        view.quarantined_until_s = now_s + QUARANTINE_S
    cluster.stop_run(view, run, f"the run has stalled at {run.percent} percent")
