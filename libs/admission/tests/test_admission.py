"""Check queues, shares, limits, estimates and retries."""

import random
import unittest
from dataclasses import dataclass

from catkinknot.admission import (
    Backoff,
    CallerLimiter,
    FairShare,
    JobQueue,
    RetryBudget,
    RunTimeEstimator,
)
from catkinknot.model import JobId, Kind

URGENT = Kind("urgent", 9, 10.0)
SLOW = Kind("slow", 0, 10.0)


@dataclass
class Item:
    """Stand in for a waiting job."""

    job_id: JobId
    kind: Kind
    caller: str
    accelerators: int
    arrived_s: float


def item(key: str, kind: Kind = SLOW, caller: str = "c", size: int = 1, at: float = 0.0) -> Item:
    """Build a waiting job."""
    return Item(JobId("w", key), kind, caller, size, at)


def order(queue: JobQueue, *, first=lambda kind: False, usage=lambda caller: 0, skip=None):
    """Return the keys in turn."""
    turn = queue.in_turn(
        "w", is_below_floor=first, caller_usage=usage, skip=skip or (lambda job: False)
    )
    return [job.job_id.key for job in turn]


class TestQueue(unittest.TestCase):
    """Check whose turn it is."""

    def fill(self, *items: Item) -> JobQueue:
        """Build a queue."""
        queue = JobQueue()
        for one in items:
            queue.add(one)
        return queue

    def test_urgent_goes_first_unless_a_kind_is_below_its_floor(self):
        """Urgency orders, but a kind that has too little goes before it."""
        queue = self.fill(item("s"), item("u", URGENT))
        self.assertEqual(order(queue), ["u", "s"])
        self.assertEqual(order(queue, first=lambda kind: kind is SLOW), ["s", "u"])

    def test_callers_take_turns(self):
        """A caller with many jobs does not hold up one with few."""
        queue = self.fill(
            *(item(f"a{n}", caller="a", at=n) for n in range(3)), item("b", caller="b")
        )
        self.assertEqual(order(queue), ["a0", "b", "a1", "a2"])
        self.assertEqual(order(queue, usage=lambda c: c == "a")[0], "b")

    def test_a_size_that_does_not_fit_is_skipped_as_a_whole(self):
        """However many jobs of that size wait, none of them is looked at."""
        queue = self.fill(*(item(f"big{n}", size=8, at=n) for n in range(50)), item("small", at=99))
        seen = order(queue, skip=lambda job: job.accelerators == 8)
        self.assertEqual(seen, ["small"])

    def test_cancellation_wave_leaves_nothing_behind(self):
        """After all jobs were removed no trace of them is kept."""
        queue = self.fill(*(item(f"k{n}", caller=f"c{n % 7}", size=n % 3 + 1) for n in range(500)))
        for number in range(500):
            self.assertIsNotNone(queue.remove(JobId("w", f"k{number}")))
        self.assertIsNone(queue.remove(JobId("w", "k0")))
        self.assertEqual((len(queue), queue.workspaces(), queue.lanes()), (0, [], []))
        self.assertEqual(queue.requested_accelerators("w", "slow"), 0)


class TestSmallParts(unittest.TestCase):
    """Check the parts that need one number or two."""

    def test_past_use_halves(self):
        """Use counts half after its half-life."""
        share = FairShare(half_life_s=10.0)
        share.charge("w", 8.0, 0.0)
        self.assertAlmostEqual(share.used("w", 10.0), 4.0)
        share.prune_idle(1000.0)
        self.assertEqual(share.used("w", 1000.0), 0.0)

    def test_limits_count_and_forget(self):
        """A caller is refused past its limit and forgotten when idle."""
        limiter = CallerLimiter()
        self.assertTrue(limiter.admit("w", "c", 4, jobs=2, limit=6))
        self.assertFalse(limiter.admit("w", "c", 4, jobs=2, limit=6))
        self.assertTrue(limiter.admit("w", "c", 2, jobs=2, limit=6))
        for size in (4, 2):
            limiter.finish("w", "c", size)
        self.assertEqual(limiter.callers(), 0)

    def test_estimates_follow_drift(self):
        """Declared times count only until some were measured, old ones fade."""
        estimator = RunTimeEstimator()
        self.assertEqual(estimator.median_s("w", "k", 99.0), 99.0)
        for _ in range(64):
            estimator.record("w", "k", 1.0)
        self.assertEqual(estimator.median_s("w", "k", 99.0), 1.0)
        self.assertEqual(estimator.median_s("other", "k", 99.0), 1.0)
        for _ in range(64):
            estimator.record("w", "k", 10.0)
        self.assertEqual(estimator.p90_s("w", "k", 99.0), 10.0)

    def test_retries_are_a_part_of_first_tries(self):
        """In a bad hour retries add a fifth, not a multiple."""
        budget = RetryBudget(part=0.2, reserve=10.0)
        retries = 0
        for _ in range(1000):
            budget.record_first_attempt()
            while budget.try_acquire():
                retries += 1
        self.assertLessEqual(retries, 210)

    def test_pauses_grow_within_bounds(self):
        """Each pause is random below a bound that doubles up to the longest."""
        backoff = Backoff(first_s=0.1, longest_s=1.0, rng=random.Random(1))
        for tries, bound in ((1, 0.1), (2, 0.2), (5, 1.0), (99, 1.0)):
            self.assertTrue(bound / 4 <= backoff.pause_s(tries) <= bound)
