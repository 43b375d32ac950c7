"""Move work off servers that are about to leave."""

from catkinknot.jobs import StepState
from catkinknot.model import Clock

from ._cluster_state import ClusterState
from ._views import RunView

__all__ = ["evict_from_draining"]

MIN_EXTRAPOLATION_PERCENT = 10
"""Progress from which a run's own pace says more than its declared time."""

OVERRUN_TOLERANCE_S = 0.3
"""A run that would end this little after its server may leave is left alone."""


def evict_from_draining(cluster: ClusterState, clock: Clock) -> None:
    """Stop runs that won't end before their server leaves.

    What has saved its progress goes on elsewhere, and the rest begins again
    sooner than after the loss, which is certain only when the lease has run
    out.
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
                    f"{view.lifetime} leaves in {remaining_s:.1f} s, the run needs {left_s:.1f} s"
                )
                cluster.stop_task(state, run.index, reason)


def _state_of(cluster: ClusterState, run: RunView) -> StepState | None:
    """Return the step that a run belongs to, None if it is over."""
    job = cluster.jobs.get(run.key.job)
    if job is None or job.phase.final:
        return None
    return job.steps.get(run.key)


def _left_s(run: RunView, state: StepState, now_s: float) -> float:
    """Return how long a run is likely to go on."""
    ran_s = now_s - run.assigned_s
    if run.percent >= MIN_EXTRAPOLATION_PERCENT and run.last_progress_s is not None:
        whole_s = (run.last_progress_s - run.assigned_s) * 100 / run.percent
        return max(0.0, whole_s - ran_s)
    return max(0.0, state.step.estimate_ms / 1000 - ran_s)
