"""Renew the lease of one server while it has work, and hear of its ends."""

import threading
from collections.abc import Callable

from catkinknot.model import Clock

from ._board import Board
from ._orders import LEASE_S
from ._recorder import Recorder
from ._servers import HoldAnswer, OrderOutcome, ServerCalls
from ._views import ServerView

__all__ = ["watch_server"]

LONG_WAIT_S = 1.9
"""How long a server may wait for an end before it answers."""

SHORT_WAIT_S = 0.25
"""The same while an order's fate is open."""

RECORD_WAIT_S = 1.0
"""How long to wait for ends to be recorded before the lease is renewed."""

RETRY_S = 0.2
"""Pause after a call without an answer."""


def watch_server(
    board: Board,
    view: ServerView,
    *,
    calls: ServerCalls,
    recorder: Recorder,
    token: int,
    clock: Clock,
    lease_end: Callable[[], float],
    on_fenced: Callable[[], None],
    stopped: threading.Event,
) -> None:
    """Hold a server until it has nothing of ours any more.

    Ends are confirmed to the server only once the store has them.
    """
    while not stopped.is_set():
        with board.lock:
            if not _needed(view):
                view.watched = False
                return
            now_s = clock.now()
            end_s = min(now_s + LEASE_S, lease_end())
            until_ms = view.until_ms(end_s, now_s) if end_s > now_s else 0
            wait_s = _wait_s(view)
            seen_end = view.seen_end
            listing = view.listing
        answer = calls.hold(
            listing, token=token, seen_end=seen_end, until_ms=until_ms, wait_s=wait_s
        )
        if answer.reply.outcome is OrderOutcome.FENCED:
            on_fenced()
            return
        board.on_hold(view, answer, now_s)
        if answer.reply.outcome is not OrderOutcome.DONE:
            stopped.wait(RETRY_S)
            continue
        _confirm_ends(view, answer, recorder, stopped)


def _needed(view: ServerView) -> bool:
    """Tell whether a server has to be asked again."""
    return view.listing is not None and bool(view.runs or view.read_end > view.seen_end)


def _wait_s(view: ServerView) -> float:
    """Return how long the server may wait before it answers."""
    if view.read_end > view.seen_end or view.silent_since_s is not None:
        return 0.0
    open_orders = any(run.settled_s is None or run.stopping for run in view.runs.values())
    return SHORT_WAIT_S if open_orders else LONG_WAIT_S


def _confirm_ends(
    view: ServerView, answer: HoldAnswer, recorder: Recorder, stopped: threading.Event
) -> None:
    """Let the server forget ends once they are recorded."""
    if not answer.ended:
        return
    last = max(row.number for row in answer.ended)
    recorded = threading.Event()
    recorder.after(recorded.set)
    if recorded.wait(RECORD_WAIT_S):
        view.seen_end = max(view.seen_end, last)
    else:
        stopped.wait(RETRY_S)
