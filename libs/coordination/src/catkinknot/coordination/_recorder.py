"""Write the leader's records in batches, those of runs before the actions that need them."""

import json
import threading
from collections.abc import Callable
from math import inf

from loguru import logger

from catkinknot.model import Clock

from ._store import JOBS, RUNS, Fence, Record, Store
from .exceptions import FencedError, OutOfSequenceError, StoreRefusedError, StoreSilentError

__all__ = ["LEAD_KEY", "PRODUCER", "Recorder", "make_leader_record"]

PRODUCER = "leader"
LEAD_KEY = "/lead"

LEADER_RECORD_INTERVAL_S = 0.5
"""Time between two writes of the leader record."""

RETRY_S = 0.05
"""Pause before a failed append is sent again."""

FIRST_APPEND_TIMEOUT_S = 0.6
"""Timeout of the first append; it doubles after each one that a slow store did not answer."""

STOP_POLL_S = 0.5
"""Longest wait for a record until the end of the leadership is noticed."""

SLOW_APPEND_S = 0.1
"""Duration of an append above which the store counts as slow."""

SLOW_BATCH_INTERVAL_S = 0.5
"""Time between two batches of phases while the store is slow.

Appends to one topic are serialized, and callers' jobs go to the same topic.
"""

MAX_APPEND_TIMEOUT_S = 2.4
"""Longest timeout of an append; the store refuses an append that it can't begin within 2 s."""


def make_leader_record(epoch: int, instance: str, nonce: str, *, resigned: bool = False) -> Record:
    """Return the record that names the leader, or the leader that has resigned."""
    body = {"epoch": epoch, "instance": instance, "nonce": nonce}
    if resigned:
        body["resigned"] = True
    return Record(LEAD_KEY, json.dumps(body, separators=(",", ":")).encode())


class Recorder:
    """Writes changed records to the store, one batch of each topic at a time.

    A key that changes again before its batch is sent is written once.
    Callbacks for a batch of runs are called on the thread of that topic once
    the store has accepted the batch.

    Attributes:
        confirmed_s: When the last accepted append was sent.
        renewed_s: When the last accepted leader record was first sent, minus infinity
            from the resignation on.
        fenced: Whether another leader has taken over.
        resigned: Set when the store has the record of the resignation.
    """

    def __init__(
        self,
        store: Store,
        *,
        epoch: int,
        instance: str,
        nonce: str,
        first_numbers: dict[str, int],
        confirmed_s: float,
        clock: Clock,
        answered_s: Callable[[], float] = lambda: inf,
    ) -> None:
        """Create the recorder of an accepted claim.

        Args:
            store: The store.
            epoch: The claimed epoch.
            instance: Name of this instance.
            nonce: Random value that identifies the claim.
            first_numbers: Next sequence number, by topic.
            confirmed_s: When the claim was sent.
            clock: Source of time.
            answered_s: Returns when the store last answered a read.
        """
        self._store = store
        self._answered_s = answered_s
        self._epoch = epoch
        self._leader_record = make_leader_record(epoch, instance, nonce)
        self._resignation = make_leader_record(epoch, instance, nonce, resigned=True)
        self._numbers = dict(first_numbers)
        self._clock = clock
        self._cond = threading.Condition()
        self._dirty: dict[str, dict[str, bytes]] = {RUNS: {}, JOBS: {}}
        self._callbacks: list[Callable[[], None]] = []
        self._renewal_callbacks: list[Callable[[], None]] = []
        self._leader_record_at_s = confirmed_s
        self._phases_written_s = float("-inf")
        self._append_duration_s = 0.0
        self._log = logger.bind(part="recorder", epoch=epoch)
        self.confirmed_s = confirmed_s
        self.renewed_s = confirmed_s
        self.fenced = False
        self.resigned = threading.Event()

    def resign(self) -> None:
        """Write the record that lets another instance take over, before anything else waits."""
        with self._cond:
            self._leader_record = self._resignation
            self._leader_record_at_s = self.renewed_s = float("-inf")
            self._cond.notify_all()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Queue a record for the next batch."""
        with self._cond:
            self._dirty[topic][key] = value
            self._cond.notify_all()

    def after(self, action: Callable[[], None]) -> None:
        """Run an action once all records of runs queued so far are in the store."""
        with self._cond:
            self._callbacks.append(action)
            self._cond.notify_all()

    def after_renewal(self, action: Callable[[], None]) -> None:
        """Run an action once the store has accepted another leader record, which is due now."""
        with self._cond:
            self._renewal_callbacks.append(action)
            self._leader_record_at_s = float("-inf")
            self._cond.notify_all()

    def run(self, topic: str, stopped: threading.Event) -> None:
        """Write the batches of one topic until stopped or fenced.

        Each topic has a thread of its own, so that starts, which wait for
        their runs to be recorded, never wait for an append of phases: callers'
        jobs keep that topic busy while the store is slow.
        """
        while not stopped.is_set() and not self.fenced:
            with self._cond:
                idle_s = self._idle_s(topic)
                if idle_s > 0:
                    self._cond.wait(idle_s)
            self.flush_topic(topic, stopped)
            if topic == JOBS and self._phases_deferred():
                stopped.wait(RETRY_S)

    def flush_topic(self, topic: str, stopped: threading.Event) -> None:
        """Write the queued records of one topic; those of runs have callbacks."""
        batch, callbacks = self._take_runs() if topic == RUNS else (self._take_phases(), [])
        records = [Record(key, value) for key, value in batch.items()]
        if records and not self._append(topic, records, stopped):
            return
        for action in callbacks:
            action()

    def _take_runs(self) -> tuple[dict[str, bytes], list[Callable[[], None]]]:
        """Take the queued records of runs, and the callbacks that wait for them."""
        with self._cond:
            batch, self._dirty[RUNS] = self._dirty[RUNS], {}
            callbacks, self._callbacks = self._callbacks, []
        return batch, callbacks

    def _take_phases(self) -> dict[str, bytes]:
        """Take the queued phases, and add the leader record if it is due."""
        batch: dict[str, bytes] = {}
        with self._cond:
            if not self._phases_deferred():
                batch, self._dirty[JOBS] = self._dirty[JOBS], {}
            if self._clock.now() - self._leader_record_at_s >= LEADER_RECORD_INTERVAL_S:
                batch.setdefault(self._leader_record.key, self._leader_record.value)
        return batch

    def _note_leader_record(self, records: list[Record], first_sent_s: float) -> None:
        """Note that the current leader record was written, and call what waits for it.

        Other instances may have read the record since its first attempt.
        """
        with self._cond:
            if self._resignation in records:
                self.resigned.set()
            if self._leader_record not in records:
                return
            self._leader_record_at_s = first_sent_s
            if self.resigned.is_set():
                return
            self.renewed_s = first_sent_s
            callbacks, self._renewal_callbacks = self._renewal_callbacks, []
        for action in callbacks:
            action()

    def _phases_deferred(self) -> bool:
        """Return whether phases wait because the store is slow and has just received a batch."""
        return (
            self._append_duration_s > SLOW_APPEND_S
            and self._clock.now() - self._phases_written_s < SLOW_BATCH_INTERVAL_S
        )

    def _idle_s(self, topic: str) -> float:
        """Return how long there is nothing to write to a topic, unless a record is queued."""
        if self._dirty[topic] or (topic == RUNS and self._callbacks):
            return 0.0
        if topic == RUNS:
            return STOP_POLL_S
        return self._leader_record_at_s + LEADER_RECORD_INTERVAL_S - self._clock.now()

    def _append(self, topic: str, records: list[Record], stopped: threading.Event) -> bool:
        """Append one batch, repeatedly until its outcome is known."""
        fence = Fence(PRODUCER, self._epoch, self._numbers[topic])
        append_timeout_s = FIRST_APPEND_TIMEOUT_S
        first_sent_s = self._clock.now()
        while not stopped.is_set():
            sent_s = self._clock.now()
            try:
                self._store.append(topic, records, fence=fence, timeout_s=append_timeout_s)
            except FencedError:
                self.fenced = True
                self._log.warning("Another instance has taken over the leadership.")
                return False
            except OutOfSequenceError as exc:
                if exc.expected != fence.number + 1:
                    self.fenced = True
                    self._log.bind(expected=exc.expected, sent=fence.number).error(
                        "Another instance writes with the epoch of this one."
                    )
                    return False
            except (StoreRefusedError, StoreSilentError) as exc:
                self._log.bind(topic=topic, reason=exc.message).debug(
                    "An append failed and is sent again."
                )
                if isinstance(exc, StoreSilentError) and self._answered_s() >= sent_s:
                    # The store is slow. A silent one may return at any time, and a
                    # long wait for the lost append would delay the next one.
                    append_timeout_s = min(2 * append_timeout_s, MAX_APPEND_TIMEOUT_S)
                stopped.wait(RETRY_S)
                continue
            self._numbers[topic] += 1
            with self._cond:
                self.confirmed_s = max(self.confirmed_s, sent_s)
            if topic == JOBS:
                self._phases_written_s = self._clock.now()
                self._append_duration_s = self._phases_written_s - sent_s
            self._note_leader_record(records, first_sent_s)
            return True
        return False
