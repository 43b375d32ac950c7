"""Write the leader's records, each batch before what depends on it."""

import json
import threading
from collections.abc import Callable

from loguru import logger

from catkinknot.model import Clock

from ._store import JOBS, RUNS, Fence, Record, Store
from .exceptions import FencedError, OutOfSequenceError, StoreRefusedError, StoreSilentError

__all__ = ["LEAD_KEY", "PRODUCER", "Recorder", "leader_record"]

PRODUCER = "leader"
LEAD_KEY = "/lead"

LEADER_RECORD_INTERVAL_S = 0.5
"""Time between the leader's marks."""

RETRY_S = 0.05
"""Pause before an append that failed is sent again."""

FIRST_APPEND_TIMEOUT_S = 0.6
"""How long the first append waits for its answer; each further one twice as long."""

SLOW_APPEND_S = 0.1
"""The store is slow when an append takes longer than this."""

SLOW_BATCH_INTERVAL_S = 0.5
"""Time between two batches of phases while the store is slow.

Appends to one topic wait for each other, and callers' jobs go there too.
"""

MAX_APPEND_TIMEOUT_S = 2.4
"""How long an append waits at most; the store refuses what it can't begin within 2 s."""


def leader_record(epoch: int, instance: str, nonce: str, *, resigned: bool = False) -> Record:
    """Return the record that says who leads, or who has ceased to."""
    body = {"epoch": epoch, "instance": instance, "nonce": nonce}
    if resigned:
        body["resigned"] = True
    return Record(LEAD_KEY, json.dumps(body, separators=(",", ":")).encode())


class Recorder:
    """Append what is dirty, one batch at a time.

    A key that changes again before its batch is sent is written once. What
    waits for a batch runs on the recorder's thread when the store has it.

    Attributes:
        confirmed_s: When the last append that the store accepted was sent.
        fenced: Whether another leader has taken over.
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
    ) -> None:
        """Begin after a claim that was accepted.

        Args:
            store: The store.
            epoch: The epoch that was claimed.
            instance: This instance.
            nonce: What tells this claim from others.
            first_numbers: Next number in the sequence, by topic.
            confirmed_s: When the claim was sent.
            clock: Where time comes from.
        """
        self._store = store
        self._epoch = epoch
        self._leader_record = leader_record(epoch, instance, nonce)
        self._numbers = dict(first_numbers)
        self._clock = clock
        self._cond = threading.Condition()
        self._dirty: dict[str, dict[str, bytes]] = {RUNS: {}, JOBS: {}}
        self._callbacks: list[Callable[[], None]] = []
        self._leader_record_s = confirmed_s
        self._phases_written_s = float("-inf")
        self._append_duration_s = 0.0
        self._log = logger.bind(part="recorder", epoch=epoch)
        self.confirmed_s = confirmed_s
        self.fenced = False

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Have a record written with the next batch."""
        with self._cond:
            self._dirty[topic][key] = value
            self._cond.notify()

    def after(self, action: Callable[[], None]) -> None:
        """Run an action once all that was put before is in the store."""
        with self._cond:
            self._callbacks.append(action)
            self._cond.notify()

    def run(self, stopped: threading.Event) -> None:
        """Write until stopped or fenced."""
        while not stopped.is_set() and not self.fenced:
            with self._cond:
                idle_s = self._leader_record_s + LEADER_RECORD_INTERVAL_S - self._clock.now()
                if not self._pending() and idle_s > 0:
                    self._cond.wait(idle_s)
            self.flush(stopped)
            if self._phases_deferred():
                stopped.wait(RETRY_S)

    def flush(self, stopped: threading.Event) -> None:
        """Write what is dirty now, then run what waited for it."""
        with self._cond:
            deferred = {JOBS} if self._phases_deferred() else set()
            batches = {
                topic: {} if topic in deferred else dict(keys)
                for topic, keys in self._dirty.items()
            }
            after, self._callbacks = self._callbacks, []
            for topic, keys in self._dirty.items():
                if topic not in deferred:
                    keys.clear()
        if self._clock.now() - self._leader_record_s >= LEADER_RECORD_INTERVAL_S:
            batches[JOBS].setdefault(self._leader_record.key, self._leader_record.value)
        for topic, keys in batches.items():
            if topic == JOBS and not keys:
                continue
            records = [Record(key, value) for key, value in keys.items()]
            if records and not self._append(topic, records, stopped):
                return
            if topic == RUNS:
                for action in after:
                    action()

    def _phases_deferred(self) -> bool:
        """Tell whether the store is slow and got a batch of phases only now."""
        return (
            self._append_duration_s > SLOW_APPEND_S
            and self._clock.now() - self._phases_written_s < SLOW_BATCH_INTERVAL_S
        )

    def _pending(self) -> bool:
        """Tell whether there is anything to write or to run."""
        return bool(self._callbacks or any(self._dirty.values()))

    def _append(self, topic: str, records: list[Record], stopped: threading.Event) -> bool:
        """Append one batch, again and again until its fate is known."""
        fence = Fence(PRODUCER, self._epoch, self._numbers[topic])
        patience_s = FIRST_APPEND_TIMEOUT_S
        while not stopped.is_set():
            sent_s = self._clock.now()
            try:
                self._store.append(topic, records, fence=fence, timeout_s=patience_s)
            except FencedError:
                self.fenced = True
                self._log.warning("Another instance leads.")
                return False
            except OutOfSequenceError as exc:
                if exc.expected != fence.number + 1:
                    self.fenced = True
                    self._log.bind(expected=exc.expected, sent=fence.number).error(
                        "Another instance writes under this epoch."
                    )
                    return False
            except (StoreRefusedError, StoreSilentError) as exc:
                self._log.bind(topic=topic, reason=exc.message).debug("An append is sent again.")
                if isinstance(exc, StoreSilentError):
                    patience_s = min(2 * patience_s, MAX_APPEND_TIMEOUT_S)
                stopped.wait(RETRY_S)
                continue
            self._numbers[topic] += 1
            self.confirmed_s = sent_s
            if topic == JOBS:
                self._phases_written_s = self._clock.now()
                self._append_duration_s = self._phases_written_s - sent_s
            if any(record.key == LEAD_KEY for record in records):
                self._leader_record_s = sent_s
            return True
        return False
