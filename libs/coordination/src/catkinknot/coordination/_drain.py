"""Evict runs from servers that are about to shut down."""

from catkinknot.jobs import StepState
from catkinknot.model import Clock

from ._cluster_state import ClusterState
from ._views import RunView

__all__ = ["evict_from_draining"]

MIN_EXTRAPOLATION_PERCENT = 10
"""Progress from which a run's own rate predicts its end better than its declared duration."""

OVERRUN_TOLERANCE_S = 0.3
"""A run predicted to end at most this long after the shutdown is not evicted."""


def evict_from_draining(cluster: ClusterState, clock: Clock) -> None:
    """Stop runs that are predicted not to end before their server shuts down.

    Runs with a checkpoint resume on another server. The others restart
    sooner than if they were lost with the server, since a loss is certain
    only once the lease has expired.
    """
    now_s = clock.now()
    for view in list(cluster.servers.values()):
        if view.shutdown_at_s is None or view.unresponsive_since_s is not None:
            continue
        for run in list(view.runs.values()):
            state = _state_of(cluster, run)
            if state is None or run.stopping or state.step.service:
                continue
            left_s = _left_s(run, state, now_s)
            if now_s + left_s > view.shutdown_at_s + OVERRUN_TOLERANCE_S:
                remaining_s = view.shutdown_at_s - now_s
                reason = (
                    f"{view.lifetime} shuts down in {remaining_s:.1f} s; run needs {left_s:.1f} s"
                )
                cluster.stop_run(view, run, reason)


def _state_of(cluster: ClusterState, run: RunView) -> StepState | None:
    """Return the step that a run belongs to, None if its job has ended or is unknown."""
    job = cluster.jobs.get(run.key.job)
    if job is None or job.phase.final:
        return None
    return job.steps.get(run.key)


def _left_s(run: RunView, state: StepState, now_s: float) -> float:
    """Return the predicted time until a run ends."""
    ran_s = now_s - run.assigned_s
    if run.percent >= MIN_EXTRAPOLATION_PERCENT and run.last_progress_s is not None:
        predicted_s = (run.last_progress_s - run.assigned_s) * 100 / run.percent
        return max(0.0, predicted_s - ran_s)
    return max(0.0, state.step.estimate_ms / 1000 - ran_s)
