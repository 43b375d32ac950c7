"""Take what backend servers say of their runs."""

from loguru import logger

from catkinknot.jobs import Ended, read_step_key

from ._cluster_state import SET_ASIDE_S, ClusterState
from ._servers import EndRow, HoldAnswer, OrderOutcome, RunRow
from ._views import RunView, ServerView

__all__ = ["note_order", "take_hold"]

FAILING_JOBS = 2
"""Different jobs that fail in a row before a server is set aside."""

SILENT_ORDERS = 3
"""Orders in a row without an answer after which a server counts as silent."""

_LOG = logger.bind(part="board")


def take_hold(cluster: ClusterState, view: ServerView, answer: HoldAnswer, sent_s: float) -> None:
    """Take what a server says when its lease is renewed.

    Args:
        cluster: What the leader knows.
        view: The server.
        answer: What it said.
        sent_s: When it was asked.
    """
    with cluster.lock:
        now_s = cluster.clock.now()
        if not _note_answer(cluster, view, answer.reply.outcome, now_s):
            return
        view.note_clock(answer.reply.clock_ms, now_s)
        cluster.note_heard(view)
        before = len(view.runs)
        for row in answer.ended:
            _take_end(cluster, view, row)
        running = {row.task: row for row in answer.running}
        for row in answer.running:
            _take_row(cluster, view, row, now_s)
        for run in list(view.runs.values()):
            gone = run.settled_s is not None and run.settled_s < sent_s
            row = running.get(run.task)
            if gone and (row is None or row.run != run.run):
                cluster.end_run(view, run, Ended.LOST, run.checkpoint)
        if len(view.runs) != before:
            cluster.changed.set()


def note_order(cluster: ClusterState, view: ServerView, answered: bool) -> None:
    """Note whether an order was answered; some answers are lost on a sound way."""
    with cluster.lock:
        view.unanswered = 0 if answered else view.unanswered + 1
        if view.unanswered >= SILENT_ORDERS and view.silent_since_s is None:
            view.silent_since_s = cluster.clock.now()
            _LOG.bind(server=view.lifetime, orders=view.unanswered).warning(
                "A server does not answer."
            )


def _note_answer(
    cluster: ClusterState, view: ServerView, outcome: OrderOutcome, now_s: float
) -> bool:
    """Note whether a server answers; return whether its answer counts."""
    match outcome:
        case OrderOutcome.DONE:
            if view.silent_since_s is not None:
                _LOG.bind(server=view.lifetime).info("A server answers again.")
            view.last_response_s = now_s
            view.silent_since_s = None
            view.unanswered = 0
            return True
        case OrderOutcome.OTHER_LIFETIME:
            cluster.lose_server(view, "another lifetime answers")
        case _ if view.silent_since_s is None:
            view.silent_since_s = now_s
            _LOG.bind(server=view.lifetime, answer=outcome.value).warning(
                "A server does not answer."
            )
    return False


def _take_row(cluster: ClusterState, view: ServerView, row: RunRow, now_s: float) -> None:
    """Take what a server says of one run."""
    run = view.runs.get(row.task)
    if run is None or run.run != row.run:
        _stop_stray(cluster, view, row)
        return
    if not run.confirmed:
        run.confirmed = True
        run.settled_s = run.settled_s or now_s
    if run.moved_s is None or run.percent != row.percent:
        run.moved_s = now_s
    run.percent = row.percent
    if row.checkpoint and row.checkpoint != run.checkpoint:
        run.checkpoint = row.checkpoint
        run.saved_s = now_s


def _stop_stray(cluster: ClusterState, view: ServerView, row: RunRow) -> None:
    """Have a run stopped that should not be there."""
    known = view.runs.get(row.task)
    if known is not None and known.run > row.run:
        return
    step_text, _, index = row.task.rpartition(".")
    stray = RunView(row.task, read_step_key(step_text), int(index), row.run, cluster.clock.now())
    stray.stopping = True
    job = cluster.jobs.get(stray.key.job)
    state = job.steps.get(stray.key) if job else None
    if state is not None and known is None:
        view.admit(stray, cluster.occupant_of(state, stray.index))
    _LOG.bind(task=row.task, run=row.run, server=view.lifetime).warning(
        "A run that nobody asked for is stopped."
    )
    cluster.send_stop(view, stray, "nobody asked for this run")


def _take_end(cluster: ClusterState, view: ServerView, row: EndRow) -> None:
    """Take the end of a run."""
    if row.number <= view.read_end:
        return
    view.read_end = row.number
    run = view.runs.get(row.task)
    if run is None or run.run != row.run:
        if row.how is Ended.DONE:
            cluster.finish_late(view, row.task, row.run)
        return
    _blame(cluster, view, run, row.how)
    cluster.end_run(view, run, row.how, row.checkpoint or run.checkpoint)


def _blame(cluster: ClusterState, view: ServerView, run: RunView, how: Ended) -> None:
    """Set a server aside that fails many different jobs in a row."""
    if how is Ended.DONE:
        view.failed_jobs.clear()
    if how is not Ended.FAILED:
        return
    view.failed_jobs.add(run.key.job)
    job = cluster.jobs.get(run.key.job)
    if job is not None:
        job.suspects.setdefault(run.key, set()).add(view.lifetime)
    if len(view.failed_jobs) >= FAILING_JOBS:
        view.suspect_until_s = cluster.clock.now() + SET_ASIDE_S
        _LOG.bind(server=view.lifetime, jobs=len(view.failed_jobs)).warning(
            "A server that fails many jobs is set aside."
        )
        view.failed_jobs.clear()
