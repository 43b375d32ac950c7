"""Test the combination of appends that wait for each other."""

import threading
import unittest

from catkinknot.coordination import JOBS, RUNS, AppendCombiner, Record
from catkinknot.coordination._combine import MAX_BATCH_RECORD_COUNT
from catkinknot.coordination._store import Fence
from catkinknot.coordination.exceptions import StoreError, StoreRefusedError, StoreSilentError
from catkinknot.model import SystemClock
from catkinknot_standins import KeyedStore, StoreView

WAIT_S = 10.0


class GatedStore(StoreView):
    """Store in which each append waits until the test lets it pass."""

    def __init__(self, store: KeyedStore) -> None:
        """Create a store whose appends all wait."""
        super().__init__(store)
        self.begun = threading.Semaphore(0)
        self.gate = threading.Semaphore(0)
        self.calls: list[list[str]] = []
        self.fault: Exception | None = None

    def append(self, topic, records, *, fence=None, only_at=None, timeout_s=None) -> int:
        """Append once the gate is open, or raise the fault that the test has set."""
        self.calls.append([record.key for record in records])
        self.begun.release()
        self.gate.acquire(timeout=WAIT_S)
        if self.fault is not None:
            raise self.fault
        return super().append(topic, records, fence=fence, only_at=only_at)


class TestAppendCombiner(unittest.TestCase):
    """Callers' appends of one record each while every append takes long."""

    def setUp(self) -> None:
        """Create a combiner in front of a store whose appends wait."""
        self.store = GatedStore(KeyedStore())
        self.combiner = AppendCombiner(self.store, clock=SystemClock())
        self.outcomes: dict[str, int | StoreError] = {}

    def _append(self, key: str, timeout_s: float = WAIT_S) -> threading.Thread:
        """Append one record on a thread of its own."""

        def append() -> None:
            try:
                self.outcomes[key] = self.combiner.append(
                    JOBS, [Record(key, b"x")], timeout_s=timeout_s
                )
            except StoreError as exc:
                self.outcomes[key] = exc

        thread = threading.Thread(target=append)
        thread.start()
        return thread

    def _wait_for_queue(self, count: int) -> None:
        """Wait until a number of appends wait for the call that is under way."""
        for _ in range(1000):
            if len(self.combiner._queues[JOBS].waiting) == count:
                return
            threading.Event().wait(0.01)
        self.fail(f"{count} appends should wait")

    def _append_behind(self, keys: list[str]) -> list[threading.Thread]:
        """Begin one append, then the others while it is under way."""
        threads = [self._append("first")]
        self.assertTrue(self.store.begun.acquire(timeout=WAIT_S))
        threads += [self._append(key) for key in keys]
        self._wait_for_queue(len(keys))
        return threads

    def _finish(self, threads: list[threading.Thread]) -> None:
        """Let all appends pass, and wait for their callers."""
        self.store.gate.release(100)
        for thread in threads:
            thread.join(WAIT_S)

    def test_a_crowd_needs_two_calls(self) -> None:
        """Twenty callers who come while an append is under way share the next one."""
        keys = [f"k{n:02}" for n in range(20)]
        self._finish(self._append_behind(keys))
        self.assertEqual([len(call) for call in self.store.calls], [1, 20])
        offsets = {key: self.outcomes[key] for key in keys}
        self.assertEqual(sorted(offsets.values()), list(range(1, 21)))
        stored = self.store.read(JOBS, 0).records
        for key, offset in offsets.items():
            self.assertEqual(stored[offset].key, key)

    def test_no_call_is_larger_than_the_limit(self) -> None:
        """What does not fit into a call is sent with the one after, and nothing is lost."""
        threads = self._append_behind(["k"])
        queue = self.combiner._queues[JOBS]
        queue.waiting[0].records *= MAX_BATCH_RECORD_COUNT
        threads.append(self._append("late"))
        self._wait_for_queue(2)
        self._finish(threads)
        self.assertEqual([len(call) for call in self.store.calls], [1, MAX_BATCH_RECORD_COUNT, 1])

    def test_failed_calls(self) -> None:
        """Every caller of a failed call learns whether the records may have been stored."""
        for fault in (StoreRefusedError("busy"), StoreSilentError("no answer")):
            with self.subTest(fault=type(fault).__name__):
                self.setUp()
                threads = self._append_behind(["a", "b"])
                self.store.fault = fault
                self._finish(threads)
                self.assertEqual(set(self.outcomes.values()), {fault})

    def test_unexpected_exception(self) -> None:
        """An exception of another kind leaves the outcome unknown and the topic usable."""
        self.store.fault = RuntimeError("unexpected")
        self.store.gate.release(100)
        with self.assertRaises(RuntimeError):
            self.combiner.append(JOBS, [Record("a", b"x")])
        self.store.fault = None
        self.assertEqual(self.combiner.append(JOBS, [Record("b", b"x")]), 0)

    def test_time_is_over_before_the_call(self) -> None:
        """An append that was never sent is refused and has no effect later."""
        threads = self._append_behind([])
        late = self._append("late", timeout_s=0.05)
        late.join(WAIT_S)
        self.assertIsInstance(self.outcomes["late"], StoreRefusedError)
        self._finish(threads)
        self.assertEqual(self.store.calls, [["first"]])

    def test_time_is_over_during_the_call(self) -> None:
        """An append that is part of a call that goes on has an unknown outcome."""
        threads = self._append_behind(["longer"])
        late = self._append("late", timeout_s=0.5)
        self._wait_for_queue(2)
        self.store.gate.release()
        late.join(WAIT_S)
        self.assertIsInstance(self.outcomes["late"], StoreSilentError)
        self._finish(threads)
        self.assertEqual(self.store.calls, [["first"], ["longer", "late"]])

    def test_conditional_appends_are_not_combined(self) -> None:
        """Fenced appends, and those at an offset, pass while another append waits."""
        threads = self._append_behind([])
        self.store.gate.release(3)
        self.combiner.append(RUNS, [Record("a", b"x")], fence=Fence("leader", 1, 0))
        self.combiner.append(RUNS, [Record("b", b"x")], only_at=1)
        self.assertEqual(self.store.calls[-2:], [["a"], ["b"]])
        self._finish(threads)


if __name__ == "__main__":
    unittest.main()
