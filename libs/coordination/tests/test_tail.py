"""Follow a topic."""

import threading
import unittest

from catkinknot.coordination import Record, Tail
from catkinknot.model import SteppedClock
from catkinknot_standins import KeyedStore, StoreView

TOPIC = "keyed.jobs"


class Pauses:
    """Stand for an event that is set after some waits, and keep their lengths."""

    def __init__(self, rounds: int) -> None:
        """Be set after so many waits."""
        self.lengths: list[float] = []
        self._rounds = rounds

    def is_set(self) -> bool:
        """Return whether all waits are over."""
        return len(self.lengths) >= self._rounds

    def wait(self, timeout: float) -> bool:
        """Note a wait and return at once."""
        self.lengths.append(timeout)
        return self.is_set()


class TestTail(unittest.TestCase):
    """Read what others have written."""

    def setUp(self) -> None:
        """Follow an empty topic."""
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

    def test_each_read_takes_what_is_there(self) -> None:
        """A read returns at once, with all that is there or with nothing."""
        self.assertTrue(self.tail.step())
        self.assertFalse(self.tail.step())
        self._append("a")
        self._append("b")
        self.assertTrue(self.tail.step())
        self.assertEqual(self.seen, ["a", "b"])

    def test_pause_follows_the_role(self) -> None:
        """An instance that begins to lead reads more often at once."""
        pauses = Pauses(rounds=1)
        self.tail.follow(pauses)
        self.pause_s = 0.03
        pauses = Pauses(rounds=2)
        self.tail.follow(pauses)
        self.assertEqual(pauses.lengths, [0.03, 0.03])

    def test_newest_after_a_gap(self) -> None:
        """A reader whose records were deleted goes on from the newest of each key."""
        self._append("a")
        self.tail.catch_up()
        self._append("b")
        self.store.forget_history()
        self.tail.catch_up()
        self._append("c")
        self.tail.catch_up()
        self.assertEqual(self.seen, ["a", "a", "b", "c"])

    def test_goes_on_after_a_refusal(self) -> None:
        """A read that failed is made again, and nothing is left out."""
        self.tail.catch_up()
        self.view.faults.refuse = True
        self.tail.follow(Pauses(rounds=2))
        self.view.faults.refuse = False
        self._append("a")
        self.tail.follow(Pauses(rounds=1))
        self.assertEqual(self.seen, ["a"])


class TestTailFollowedByThreads(unittest.TestCase):
    """Two readers of one tail."""

    def test_no_record_is_taken_twice(self) -> None:
        """A caller's read beside the follower's leaves the order as it is."""
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
