"""Write the leader's records."""

import itertools
import threading
import unittest

from catkinknot.coordination import JOBS, RUNS, Record
from catkinknot.coordination._recorder import LEAD_KEY, LEADER_RECORD_INTERVAL_S, PRODUCER, Recorder
from catkinknot.coordination._store import Fence
from catkinknot.model import SteppedClock
from catkinknot_standins import KeyedStore, StoreView

EPOCH = 1
STEP_S = 0.05


class TimedStore(StoreView):
    """Take a while for each append, and note when it was made."""

    def __init__(self, store: KeyedStore, clock: SteppedClock) -> None:
        """Answer at once until told otherwise."""
        super().__init__(store)
        self._clock = clock
        self.answer_s = 0.0
        self.made: list[tuple[float, str, list[Record]]] = []

    def append(self, topic, records, *, fence=None, only_at=None, timeout_s=None) -> int:
        """Let time pass, then append."""
        self._clock.advance(self.answer_s)
        self.made.append((self._clock.now(), topic, records))
        return super().append(topic, records, fence=fence, only_at=only_at)


class TestRecorder(unittest.TestCase):
    """Batch what is dirty."""

    def setUp(self) -> None:
        """Begin with an accepted claim."""
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

    def _work(self, seconds: float) -> dict[str, int]:
        """Change a phase and a run over and over; return the appends by topic."""
        self.view.made.clear()
        end_s = self.clock.now() + seconds
        n = 0
        while self.clock.now() < end_s:
            n += 1
            self.recorder.put(JOBS, f"j{n}/s", b"running")
            self.recorder.put(RUNS, f"j{n}.0.0", b"r")
            self.recorder.flush(self.not_stopped)
            self.clock.advance(STEP_S)
        topics = [topic for _, topic, _ in self.view.made]
        return {topic: topics.count(topic) for topic in (JOBS, RUNS)}

    def test_sound_store(self) -> None:
        """Phases are written as they come."""
        made = self._work(1.0)
        self.assertEqual(made[JOBS], made[RUNS])

    def test_slow_store_is_left_to_callers(self) -> None:
        """While appends take long, phases are gathered; runs go on, nothing is lost.

        Before, the leader's phases took as many turns in the topic's queue as
        the store could give, and callers' jobs waited for seconds.
        """
        self.view.answer_s = 0.18
        made = self._work(3.0)
        self.assertLessEqual(made[JOBS], 6)
        self.assertGreater(made[RUNS], made[JOBS])
        self.view.answer_s = 0.0
        self.clock.advance(1.0)
        self.recorder.flush(self.not_stopped)
        written = {r.key for _, topic, records in self.view.made if topic == JOBS for r in records}
        changed = {r.key for _, topic, records in self.view.made if topic == RUNS for r in records}
        self.assertEqual({key.partition(".")[0] + "/s" for key in changed}, written - {LEAD_KEY})

    def test_mark_while_phases_are_gathered(self) -> None:
        """The leader's mark is never held back by that."""
        self.view.answer_s = 0.18
        self._work(3.0)
        marks = [
            at_s for at_s, _, records in self.view.made if any(r.key == LEAD_KEY for r in records)
        ]
        gaps = [late - early for early, late in itertools.pairwise(marks)]
        self.assertLessEqual(max(gaps), LEADER_RECORD_INTERVAL_S + 3 * self.view.answer_s)


if __name__ == "__main__":
    unittest.main()
