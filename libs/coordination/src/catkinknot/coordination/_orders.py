"""Send orders to servers and handle their replies."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor

from loguru import logger

from catkinknot.model import Clock

from ._cluster_state import ClusterState
from ._reports import note_order, note_other_lifetime
from ._servers import OrderOutcome, OrderReply, ServerCalls, StartOrder, StopOrder
from ._views import RunView, ServerView

__all__ = ["LEASE_S", "START_VALIDITY_S", "OrderSender"]

LEASE_S = 7.0
"""Time after a renewal for which a server keeps its runs."""

START_VALIDITY_S = 1.5
"""Time after the leader sent its last accepted leader record for which it may send starts.

A server that has restarted knows no fencing token, so a leader that was
superseded unnoticed must not send any. It is shorter than the election timeout,
so a successor rarely has to wait for the rest of it.
"""

START_ATTEMPT_COUNT = 3
"""Number of times a start is sent before the run is abandoned."""

STOP_ATTEMPT_COUNT = 3
"""Number of times in a row that a stop without an answer is sent."""

RETRY_S = 0.15
"""Pause before an order is sent again."""

UNHEALTHY_PAUSE_S = 2.0
"""Time for which a server gets no new work after it refused a start as unhealthy."""

SENDER_COUNT = 40
"""Number of orders sent concurrently."""


class OrderSender:
    """Sends starts and stops, each on a thread of a pool."""

    def __init__(
        self,
        calls: ServerCalls,
        *,
        token: int,
        clock: Clock,
        lease_end: Callable[[], float],
        renewed_s: Callable[[], float],
        after_renewal: Callable[[Callable[[], None]], None],
        on_fenced: Callable[[], None],
        stopped: threading.Event,
        pool: Executor | None = None,
    ) -> None:
        """Create a sender.

        Args:
            calls: Client for the servers.
            token: Fencing token: the epoch of the leader.
            clock: Source of time.
            lease_end: Returns the latest time to which a lease may be granted.
            renewed_s: Returns when the last accepted leader record was sent.
            after_renewal: Runs an action once another leader record has been accepted.
            on_fenced: Called when a server has seen the token of a later leader.
            stopped: Set when the leadership has ended.
            pool: Executor for the orders; a new thread pool by default.
        """
        self._calls = calls
        self._token = token
        self._clock = clock
        self._lease_end = lease_end
        self._renewed_s = renewed_s
        self._after_renewal = after_renewal
        self._on_fenced = on_fenced
        self._stopped = stopped
        self._pool = pool or ThreadPoolExecutor(SENDER_COUNT, thread_name_prefix="order")
        self._log = logger.bind(part="orders", epoch=token)

    def close(self) -> None:
        """Drop the queued orders and accept no more."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def start(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Queue the start of a run whose record is in the store."""
        self._submit(self._start, cluster, view, run)

    def stop(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Queue the stop of a run."""
        self._submit(self._stop, cluster, view, run)

    def _submit(self, action: Callable[..., None], *args: object) -> None:
        """Run an order on the pool, unless the sender is closed."""
        try:
            self._pool.submit(self._guard, action, *args)
        except RuntimeError:
            self._log.debug("An order was dropped because the leadership has ended.")

    def _guard(self, action: Callable[..., None], *args: object) -> None:
        """Log any exception of an order, which the pool would swallow."""
        try:
            action(*args)
        except Exception:
            self._log.exception("An order raised an exception.")

    def _start(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Send a start until it is resolved; abandon the run after the last attempt."""
        for _ in range(START_ATTEMPT_COUNT):
            order = self._make_start_order(cluster, view, run)
            if order is None or self._stopped.is_set():
                return
            now_s = self._clock.now()
            clock_age_ms = view.clock_age_ms(now_s)
            reply = self._calls.start(view.listing, order)
            log = self._log.bind(
                task=run.task,
                run=run.run,
                server=view.lifetime,
                until_ms=order.until_ms,
                clock_age_ms=clock_age_ms,
                valid_ms=int(max(0.0, order.send_by_s - now_s) * 1000),
            )
            if reply.outcome is OrderOutcome.EXPIRED:
                log.info("A start waits until the leadership is renewed.")
                self._after_renewal(lambda: self.start(cluster, view, run))
                return
            log.bind(answer=reply.outcome.value).info("A start was sent.")
            note_order(cluster, view, reply.outcome is not OrderOutcome.NO_ANSWER)
            if self._handle_start_reply(cluster, view, run, reply):
                return
            if reply.outcome is OrderOutcome.NO_ANSWER:
                run.doubtful = True
                self._stopped.wait(RETRY_S)
        with cluster.lock:
            if view.runs.get(run.task) is not run:
                return
            if run.doubtful:
                cluster.stop_run(view, run, "its start order got no answer")
            else:
                cluster.end_unstarted(view, run, "its lease had always expired on arrival")

    def _make_start_order(
        self, cluster: ClusterState, view: ServerView, run: RunView
    ) -> StartOrder | None:
        """Return the start order, or None if the run is no longer wanted."""
        with cluster.lock:
            if view.runs.get(run.task) is not run or view.listing is None or run.confirmed:
                return None
            if run.stopping and not run.doubtful:
                cluster.end_unstarted(view, run, "it was stopped before its start order was sent")
                return None
            if run.stopping:
                return None
            if view.unresponsive_since_s is not None and not run.doubtful:
                cluster.end_unstarted(view, run, "its server is unresponsive")
                return None
            job = cluster.jobs[run.key.job].job
            task = cluster.jobs[run.key.job].steps[run.key].tasks[run.index]
            now_s = self._clock.now()
            until_ms = view.grant_lease(min(now_s + LEASE_S, self._lease_end()), now_s)
            run.sent = True
            return StartOrder(
                run.task,
                run.run,
                job.payload,
                until_ms,
                self._token,
                task.checkpoint,
                send_by_s=self._renewed_s() + START_VALIDITY_S,
            )

    def _handle_start_reply(
        self, cluster: ClusterState, view: ServerView, run: RunView, reply: OrderReply
    ) -> bool:
        """Handle the reply to a start; return whether the start is resolved."""
        now_s = self._clock.now()
        match reply.outcome:
            case OrderOutcome.NO_ANSWER:
                return False
            case OrderOutcome.DONE:
                with cluster.lock:
                    view.note_clock(reply.clock_ms, now_s)
                    run.confirmed = run.confirmed or bool(reply.started_at_ms)
                    run.start_resolved_s = now_s
                return True
            case OrderOutcome.TOO_LATE:
                # The estimate of the server's clock was inaccurate; the reply updates it.
                with cluster.lock:
                    view.note_clock(reply.clock_ms, now_s)
                return False
            case OrderOutcome.FENCED:
                self._on_fenced()
                return True
            case OrderOutcome.OTHER_LIFETIME:
                note_other_lifetime(cluster, view, reply)
                return True
        if reply.outcome is OrderOutcome.UNHEALTHY:
            view.unhealthy_until_s = now_s + UNHEALTHY_PAUSE_S
        if run.doubtful:
            return False
        cluster.end_unstarted(view, run, reply.outcome.value)
        return True

    def _stop(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Send a stop until it is answered or the attempts are used up."""
        for _ in range(STOP_ATTEMPT_COUNT):
            if self._stopped.is_set() or view.listing is None:
                return
            if view.unresponsive_since_s is not None:
                # The stop is sent again once the server is responsive; until
                # then it would only delay the orders to other servers.
                return
            reply = self._calls.stop(view.listing, StopOrder(run.task, run.run, self._token))
            self._log.bind(
                task=run.task, run=run.run, server=view.lifetime, answer=reply.outcome.value
            ).info("A stop was sent.")
            note_order(cluster, view, reply.outcome is not OrderOutcome.NO_ANSWER)
            match reply.outcome:
                case OrderOutcome.FENCED:
                    self._on_fenced()
                    return
                case OrderOutcome.OTHER_LIFETIME:
                    note_other_lifetime(cluster, view, reply)
                    return
                case OrderOutcome.NO_ANSWER | OrderOutcome.UNHEALTHY:
                    self._stopped.wait(RETRY_S)
                case _:
                    with cluster.lock:
                        run.stop_acknowledged = True
                        run.start_resolved_s = self._clock.now()
                    return
