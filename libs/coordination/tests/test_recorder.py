"""Tests of the leader's recorder."""

import itertools
import threading
import unittest

from catkinknot.coordination import JOBS, RUNS, Record
from catkinknot.coordination._recorder import LEAD_KEY, LEADER_RECORD_INTERVAL_S, PRODUCER, Recorder
from catkinknot.coordination._store import Fence
from catkinknot.coordination.exceptions import StoreSilentError
from catkinknot.model import SteppedClock
from catkinknot_standins import KeyedStore, StoreView

EPOCH = 1
STEP_S = 0.05


class TimedStore(StoreView):
    """Store whose appends take time and are logged."""

    def __init__(self, store: KeyedStore, clock: SteppedClock) -> None:
        """Create a store that answers at once until `answer_s` is set."""
        super().__init__(store)
        self._clock = clock
        self.answer_s = 0.0
        self.append_log: list[tuple[float, str, list[Record]]] = []

    def append(self, topic, records, *, fence=None, only_at=None, timeout_s=None) -> int:
        """Advance the clock, then append."""
        self._clock.advance(self.answer_s)
        self.append_log.append((self._clock.now(), topic, records))
        return super().append(topic, records, fence=fence, only_at=only_at)


class BusyTopicStore(StoreView):
    """Store in which appends to the topic of jobs wait for an event."""

    def __init__(self, store: KeyedStore) -> None:
        """Create a store whose topic of jobs is busy."""
        super().__init__(store)
        self.jobs_are_free = threading.Event()
        self.jobs_append_begun = threading.Event()

    def append(self, topic, records, *, fence=None, only_at=None, timeout_s=None) -> int:
        """Append, to the topic of jobs only once it is free."""
        if topic == JOBS:
            self.jobs_append_begun.set()
            self.jobs_are_free.wait(10.0)
        return super().append(topic, records, fence=fence, only_at=only_at)


class TestBusyTopicOfJobs(unittest.TestCase):
    """Starts while a slow store keeps the topic of jobs busy with callers' jobs."""

    def test_starts_do_not_wait_for_phases(self) -> None:
        """Runs are recorded, and their starts sent, while an append of phases waits."""
        store = KeyedStore()
        for topic in (JOBS, RUNS):
            store.do_append(topic, [Record(LEAD_KEY, b"{}")], Fence(PRODUCER, EPOCH, 0), None)
        view = BusyTopicStore(store)
        clock = SteppedClock(100.0)
        recorder = Recorder(
            view, epoch=EPOCH, instance="test", nonce="n", first_numbers={JOBS: 1, RUNS: 1},
            confirmed_s=clock.now(), clock=clock,
        )  # fmt: skip
        stopped, sent = threading.Event(), threading.Event()
        threads = [
            threading.Thread(target=recorder.run, args=(topic, stopped)) for topic in (JOBS, RUNS)
        ]
        recorder.put(JOBS, "a/s", b"running")
        for thread in threads:
            thread.start()
        self.assertTrue(view.jobs_append_begun.wait(10.0))
        recorder.put(RUNS, "b.0.0", b"r")
        recorder.after(sent.set)
        started_meanwhile = sent.wait(5.0)
        stopped.set()
        view.jobs_are_free.set()
        for thread in threads:
            thread.join()
        self.assertTrue(started_meanwhile)
        self.assertIn("b.0.0", view.newest(RUNS).records)
        self.assertIn("a/s", view.newest(JOBS).records)


class TestRecorder(unittest.TestCase):
    """Batching of changed records."""

    def setUp(self) -> None:
        """Create the recorder of an accepted claim."""
        self.clock = SteppedClock(100.0)
        store = KeyedStore()
        for topic in (JOBS, RUNS):
            store.do_append(topic, [Record(LEAD_KEY, b"{}")], Fence(PRODUCER, EPOCH, 0), None)
        self.view = TimedStore(store, self.clock)
        self.recorder = Recorder(
            self.view,
            epoch=EPOCH,
            instance="test",
            nonce="n",
            first_numbers={JOBS: 1, RUNS: 1},
            confirmed_s=self.clock.now(),
            clock=self.clock,
        )
        self.not_stopped = threading.Event()

    def _flush(self) -> None:
        """Write the queued records of both topics."""
        for topic in (RUNS, JOBS):
            self.recorder.flush_topic(topic, self.not_stopped)

    def _write_changes(self, seconds: float) -> dict[str, int]:
        """Change a phase and a run repeatedly; return the number of appends by topic."""
        self.view.append_log.clear()
        end_s = self.clock.now() + seconds
        n = 0
        while self.clock.now() < end_s:
            n += 1
            self.recorder.put(JOBS, f"j{n}/s", b"running")
            self.recorder.put(RUNS, f"j{n}.0.0", b"r")
            self._flush()
            self.clock.advance(STEP_S)
        topics = [topic for _, topic, _ in self.view.append_log]
        return {topic: topics.count(topic) for topic in (JOBS, RUNS)}

    def test_fast_store(self) -> None:
        """Phases are written without delay."""
        append_counts = self._write_changes(1.0)
        self.assertEqual(append_counts[JOBS], append_counts[RUNS])

    def test_slow_store_gets_fewer_phase_batches(self) -> None:
        """While appends are slow, phases are batched, runs are written and nothing is lost.

        Otherwise the leader's phases fill the queue of the topic, and callers'
        jobs wait there for seconds.
        """
        self.view.answer_s = 0.18
        append_counts = self._write_changes(3.0)
        self.assertLessEqual(append_counts[JOBS], 6)
        self.assertGreater(append_counts[RUNS], append_counts[JOBS])
        self.view.answer_s = 0.0
        self.clock.advance(1.0)
        self._flush()
        written = {
            r.key for _, topic, records in self.view.append_log if topic == JOBS for r in records
        }
        changed = {
            r.key for _, topic, records in self.view.append_log if topic == RUNS for r in records
        }
        self.assertEqual({key.partition(".")[0] + "/s" for key in changed}, written - {LEAD_KEY})

    def test_timeouts_while_the_store_is_silent(self) -> None:
        """A silent store is tried at short intervals; a slow one gets time to answer.

        The leader has to renew its record soon after an outage, or it is deposed.
        """
        for answered_s, expected_s in ((0.0, [0.6] * 4), (1e9, [0.6, 1.2, 2.4, 2.4])):
            with self.subTest(answered_s=answered_s):
                timeouts_s: list[float] = []

                def append(topic, records, *, fence=None, timeout_s=None, seen=timeouts_s) -> int:
                    seen.append(timeout_s)
                    self.clock.advance(timeout_s)
                    if len(seen) == 4:
                        self.not_stopped.set()
                    raise StoreSilentError("no answer")

                self.not_stopped.clear()
                self.view.append = append
                self.recorder._answered_s = lambda value=answered_s: value
                self.recorder.put(RUNS, "a.0.0", b"r")
                self.recorder.flush_topic(RUNS, self.not_stopped)
                self.assertEqual(timeouts_s, expected_s)

    def test_leader_record_while_phases_are_batched(self) -> None:
        """Batching of phases never delays the leader record."""
        self.view.answer_s = 0.18
        self._write_changes(3.0)
        record_times_s = [
            at_s
            for at_s, _, records in self.view.append_log
            if any(r.key == LEAD_KEY for r in records)
        ]
        gaps_s = [later - earlier for earlier, later in itertools.pairwise(record_times_s)]
        self.assertLessEqual(max(gaps_s), LEADER_RECORD_INTERVAL_S + 3 * self.view.answer_s)


if __name__ == "__main__":
    unittest.main()
