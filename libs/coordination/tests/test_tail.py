"""Tests of the topic tail."""

import threading
import unittest

from catkinknot.coordination import Record, Tail
from catkinknot.model import SteppedClock
from catkinknot_standins import KeyedStore, StoreView

TOPIC = "keyed.jobs"


class RecordingEvent:
    """Event that is set after a number of waits, and records their durations."""

    def __init__(self, rounds: int) -> None:
        """Create an event that is set after `rounds` waits."""
        self.durations_s: list[float] = []
        self._rounds = rounds

    def is_set(self) -> bool:
        """Return whether all waits have been made."""
        return len(self.durations_s) >= self._rounds

    def wait(self, timeout: float) -> bool:
        """Record a wait and return at once."""
        self.durations_s.append(timeout)
        return self.is_set()


class TestTail(unittest.TestCase):
    """Reads of a topic that other producers write."""

    def setUp(self) -> None:
        """Create a tail of an empty topic."""
        self.store = KeyedStore()
        self.view = StoreView(self.store)
        self.seen: list[str] = []
        self.pause_s = 0.4
        self.tail = Tail(
            self.view,
            TOPIC,
            clock=SteppedClock(10.0),
            on_snapshot=lambda records: self.seen.extend(records),
            on_records=lambda records: self.seen.extend(record.key for record in records),
            pause_s=lambda: self.pause_s,
        )

    def _append(self, key: str) -> None:
        self.store.do_append(TOPIC, [Record(key, b"1")], None, None)

    def test_read_does_not_wait(self) -> None:
        """A read returns at once, with all available records or none."""
        self.assertEqual(self.tail.step(), 0)
        self.assertEqual(self.tail.step(), 0)
        self._append("a")
        self._append("b")
        self.assertEqual(self.tail.step(), 2)
        self.assertEqual(self.seen, ["a", "b"])

    def test_pause_follows_the_role(self) -> None:
        """The pause is re-evaluated for each read, so a new leader reads more often at once."""
        stop_event = RecordingEvent(rounds=1)
        self.tail.follow(stop_event)
        self.pause_s = 0.03
        stop_event = RecordingEvent(rounds=2)
        self.tail.follow(stop_event)
        self.assertEqual(stop_event.durations_s, [0.03, 0.03])

    def test_busy_topic_does_not_keep_a_reader(self) -> None:
        """A reader reaches the end of a topic to which each read finds new records added.

        With hundreds of instances and a slow store, every read brings records.
        A reader that waits for an empty one keeps its caller until the deadline.
        """
        self.tail.catch_up()
        read = self.view.read

        def read_then_append(topic: str, start: int):
            batch = read(topic, start)
            if len(self.seen) < 50:
                self._append("more")
            return batch

        self._append("a")
        self.view.read = read_then_append
        self.tail.catch_up()
        self.assertEqual(self.seen, ["a"])

    def test_newest_after_a_gap(self) -> None:
        """A tail whose next records were deleted continues from a snapshot."""
        self._append("a")
        self.tail.catch_up()
        self._append("b")
        self.store.compact_topics()
        self.tail.catch_up()
        self._append("c")
        self.tail.catch_up()
        self.assertEqual(self.seen, ["a", "a", "b", "c"])

    def test_continues_after_a_refusal(self) -> None:
        """A failed read is repeated, and no record is skipped."""
        self.tail.catch_up()
        self.view.faults.refuse = True
        self.tail.follow(RecordingEvent(rounds=2))
        self.view.faults.refuse = False
        self._append("a")
        self.tail.follow(RecordingEvent(rounds=1))
        self.assertEqual(self.seen, ["a"])


class TestConcurrentReaders(unittest.TestCase):
    """Several threads that read one tail."""

    def test_no_record_is_applied_twice(self) -> None:
        """Concurrent reads deliver each record once and in order."""
        store = KeyedStore()
        seen: list[str] = []
        tail = Tail(
            StoreView(store),
            TOPIC,
            clock=SteppedClock(10.0),
            on_snapshot=lambda records: None,
            on_records=lambda records: seen.extend(record.key for record in records),
        )
        tail.catch_up()
        keys = [f"k{n}" for n in range(200)]
        for key in keys:
            store.do_append(TOPIC, [Record(key, b"1")], None, None)
        readers = [threading.Thread(target=tail.catch_up) for _ in range(4)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        self.assertEqual(seen, keys)


if __name__ == "__main__":
    unittest.main()
