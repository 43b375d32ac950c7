"""Apply the answers of backend servers to the cluster state."""

from loguru import logger

from catkinknot.jobs import RunOutcome, read_step_key

from ._cluster_state import QUARANTINE_S, ClusterState
from ._servers import EndRow, HoldAnswer, OrderOutcome, OrderReply, RunRow
from ._views import RunView, ServerView

__all__ = ["apply_hold_answer", "note_order", "note_other_lifetime"]

QUARANTINE_FAILED_JOB_COUNT = 2
"""Different jobs that fail in a row on a server before it is quarantined."""

MAX_UNANSWERED_ORDER_COUNT = 3
"""Consecutive orders without an answer after which a server counts as unresponsive."""

MAX_LISTED_END_COUNT = 500
"""Most ends in one answer of a server; an answer with as many may leave later ones out."""

_LOG = logger.bind(part="board")


def apply_hold_answer(
    cluster: ClusterState, view: ServerView, answer: HoldAnswer, sent_s: float
) -> None:
    """Apply a server's answer to a lease renewal.

    Args:
        cluster: The cluster state.
        view: The server.
        answer: Its answer.
        sent_s: When the renewal was sent.
    """
    with cluster.lock:
        now_s = cluster.clock.now()
        if not _note_answer(cluster, view, answer.reply, now_s):
            return
        view.note_clock(answer.reply.clock_ms, now_s)
        cluster.mark_responsive(view)
        before = len(view.runs)
        _withhold_superseded_ends(cluster, view, answer.ended)
        for row in answer.ended:
            _apply_end_row(cluster, view, row)
        for row in answer.running:
            _apply_run_row(cluster, view, row, now_s)
        if len(answer.ended) < MAX_LISTED_END_COUNT:
            _end_missing_runs(cluster, view, answer, sent_s)
        if len(view.runs) != before:
            cluster.changed.set()


def _withhold_superseded_ends(
    cluster: ClusterState, view: ServerView, ended: tuple[EndRow, ...]
) -> None:
    """Find the first end that must not be acknowledged.

    A task may have been started again before the server could report that an
    earlier run was done. Acknowledging that report would make the later start
    a second run of finished work. A lease that lapsed after the end voids it.
    """
    lapsed = max((row.number for row in ended if row.how is RunOutcome.LAPSED), default=0)
    numbers = (
        row.number
        for row in ended
        if row.how is RunOutcome.DONE
        and row.number > lapsed
        and (row.number == view.withheld_end or _is_superseded(cluster, row))
    )
    withheld = min(numbers, default=None)
    if withheld is not None and withheld != view.withheld_end:
        _LOG.bind(server=view.lifetime, end=withheld, acknowledged=view.seen_end).warning(
            "The end of a run whose task was started again is not acknowledged."
        )
    view.withheld_end = withheld


def _is_superseded(cluster: ClusterState, row: EndRow) -> bool:
    """Return whether a later run of the task has been assigned to a server."""
    step_text, _, index = row.task.rpartition(".")
    key = read_step_key(step_text)
    job = cluster.jobs.get(key.job)
    state = job.steps.get(key) if job else None
    return state is not None and state.tasks[int(index)].run > row.run


def _end_missing_runs(
    cluster: ClusterState, view: ServerView, answer: HoldAnswer, sent_s: float
) -> None:
    """End the runs that a server lists neither as running nor as ended."""
    running = {row.task: row.run for row in answer.running}
    for run in list(view.runs.values()):
        settled = run.settled_s is not None and run.settled_s < sent_s
        if settled and running.get(run.task) != run.run:
            cluster.end_run(view, run, RunOutcome.LOST, run.checkpoint)


def note_order(cluster: ClusterState, view: ServerView, answered: bool) -> None:
    """Count unanswered orders in a row.

    A single lost answer doesn't make a server unresponsive, since a working
    network loses some answers too.
    """
    with cluster.lock:
        view.unanswered = 0 if answered else view.unanswered + 1
        if view.unanswered >= MAX_UNANSWERED_ORDER_COUNT and view.unresponsive_since_s is None:
            view.unresponsive_since_s = cluster.clock.now()
            _LOG.bind(server=view.lifetime, orders=view.unanswered).warning(
                "A server is unresponsive."
            )


def note_other_lifetime(cluster: ClusterState, view: ServerView, reply: OrderReply) -> None:
    """Handle an answer that another lifetime of a server, or another server, gave."""
    listing = view.listing
    other = None
    if listing is not None and reply.started_at_ms not in (0, listing.started_at_ms):
        other = listing.other_lifetime(reply.started_at_ms, reply.clock_ms)
    cluster.replace_lifetime(view, other, "another lifetime of the server answers")


def _note_answer(cluster: ClusterState, view: ServerView, reply: OrderReply, now_s: float) -> bool:
    """Update a server's responsiveness; return whether its answer is to be applied."""
    match reply.outcome:
        case OrderOutcome.DONE:
            if view.unresponsive_since_s is not None:
                _LOG.bind(server=view.lifetime).info("A server is responsive again.")
            view.last_response_s = now_s
            view.unresponsive_since_s = None
            view.unanswered = 0
            return True
        case OrderOutcome.OTHER_LIFETIME:
            note_other_lifetime(cluster, view, reply)
        case _ if view.unresponsive_since_s is None:
            view.unresponsive_since_s = now_s
            _LOG.bind(server=view.lifetime, answer=reply.outcome.value).warning(
                "A server is unresponsive."
            )
    return False


def _apply_run_row(cluster: ClusterState, view: ServerView, row: RunRow, now_s: float) -> None:
    """Apply a server's report of one run."""
    run = view.runs.get(row.task)
    if run is None or run.run != row.run:
        _stop_orphaned_run(cluster, view, row)
        return
    if not run.confirmed:
        run.confirmed = True
        run.start_resolved_s = run.start_resolved_s or now_s
    if run.last_progress_s is None or run.percent != row.percent:
        run.last_progress_s = now_s
    run.percent = row.percent
    if row.checkpoint:
        run.checkpoint = row.checkpoint


def _stop_orphaned_run(cluster: ClusterState, view: ServerView, row: RunRow) -> None:
    """Stop a run that the leader did not assign to the server."""
    known = view.runs.get(row.task)
    if known is not None and known.run > row.run:
        return
    step_text, _, index = row.task.rpartition(".")
    orphan = RunView(row.task, read_step_key(step_text), int(index), row.run, cluster.clock.now())
    orphan.stopping = True
    job = cluster.jobs.get(orphan.key.job)
    state = job.steps.get(orphan.key) if job else None
    if state is not None and known is None:
        view.admit(orphan, cluster.occupant_of(state, orphan.index))
    _LOG.bind(task=row.task, run=row.run, server=view.lifetime).warning(
        "An orphaned run is being stopped."
    )
    cluster.send_stop(view, orphan, "the run is orphaned")


def _apply_end_row(cluster: ClusterState, view: ServerView, row: EndRow) -> None:
    """Apply the end of a run."""
    if row.number <= view.read_end:
        return
    view.read_end = row.number
    run = view.runs.get(row.task)
    if run is None or run.run != row.run:
        if row.how is RunOutcome.DONE:
            cluster.finish_late(view, row.task, row.run)
        return
    _track_failure(cluster, view, run, row.how)
    cluster.end_run(view, run, row.how, row.checkpoint or run.checkpoint)


def _track_failure(cluster: ClusterState, view: ServerView, run: RunView, how: RunOutcome) -> None:
    """Quarantine a server that fails many different jobs in a row."""
    if how is RunOutcome.DONE:
        view.failed_jobs.clear()
    if how is not RunOutcome.FAILED:
        return
    view.failed_jobs.add(run.key.job)
    job = cluster.jobs.get(run.key.job)
    if job is not None:
        job.note_failure(run.key, view.lifetime, cluster.clock.now())
    if len(view.failed_jobs) >= QUARANTINE_FAILED_JOB_COUNT:
        view.quarantined_until_s = cluster.clock.now() + QUARANTINE_S
        _LOG.bind(server=view.lifetime, jobs=len(view.failed_jobs)).warning(
            "A server that fails many jobs is quarantined."
        )
        view.failed_jobs.clear()
