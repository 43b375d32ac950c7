"""Tests of the queue, fair shares, limits, estimates and retries."""

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
class StubJob:
    """Minimal queued job."""

    job_id: JobId
    kind: Kind
    caller: str
    accelerators: int
    arrived_s: float


def make_job(
    key: str, kind: Kind = SLOW, caller: str = "c", accelerators: int = 1, arrived_s: float = 0.0
) -> StubJob:
    """Return a job of workspace ``w``."""
    return StubJob(JobId("w", key), kind, caller, accelerators, arrived_s)


def keys_in_turn(
    queue: JobQueue, *, below_floor=lambda kind: False, usage=lambda caller: 0, skip=None
):
    """Return the keys of the jobs in the order of their turn."""
    turn = queue.in_turn(
        "w", is_below_floor=below_floor, caller_usage=usage, skip=skip or (lambda job: False)
    )
    return [job.job_id.key for job in turn]


class TestQueue(unittest.TestCase):
    """Tests of the order in which queued jobs get their turn."""

    def queue_of(self, *jobs: StubJob) -> JobQueue:
        """Return a queue with some jobs."""
        queue = JobQueue()
        for job in jobs:
            queue.add(job)
        return queue

    def test_urgency_decides_unless_kind_is_below_floor(self):
        """Kinds are ordered by urgency, except that one below its floor comes first."""
        queue = self.queue_of(make_job("s"), make_job("u", URGENT))
        self.assertEqual(keys_in_turn(queue), ["u", "s"])
        self.assertEqual(keys_in_turn(queue, below_floor=lambda kind: kind is SLOW), ["s", "u"])

    def test_callers_take_turns(self):
        """A caller with many jobs must not delay a caller with few."""
        queue = self.queue_of(
            *(make_job(f"a{n}", caller="a", arrived_s=n) for n in range(3)),
            make_job("b", caller="b"),
        )
        self.assertEqual(keys_in_turn(queue), ["a0", "b", "a1", "a2"])
        self.assertEqual(keys_in_turn(queue, usage=lambda c: c == "a")[0], "b")

    def test_skipped_size_is_skipped_entirely(self):
        """A skipped size must not be yielded, however many jobs of it are waiting."""
        queue = self.queue_of(
            *(make_job(f"big{n}", accelerators=8, arrived_s=n) for n in range(50)),
            make_job("small", arrived_s=99),
        )
        keys = keys_in_turn(queue, skip=lambda job: job.accelerators == 8)
        self.assertEqual(keys, ["small"])

    def test_removing_all_jobs_leaves_no_entries(self):
        """Removed jobs must not leave empty queues or totals that grow without bound."""
        queue = self.queue_of(
            *(make_job(f"k{n}", caller=f"c{n % 7}", accelerators=n % 3 + 1) for n in range(500))
        )
        for number in range(500):
            self.assertIsNotNone(queue.remove(JobId("w", f"k{number}")))
        self.assertIsNone(queue.remove(JobId("w", "k0")))
        self.assertEqual((len(queue), queue.workspaces(), queue.lanes()), (0, [], []))
        self.assertEqual(queue.requested_accelerators("w", "slow"), 0)


class TestAccountingAndLimits(unittest.TestCase):
    """Tests of usage decay, caller limits, run time estimates and retries."""

    def test_past_usage_decays(self):
        """Usage counts half after its half-life and is removed once it is negligible."""
        share = FairShare(half_life_s=10.0)
        share.charge("w", 8.0, 0.0)
        self.assertAlmostEqual(share.used("w", 10.0), 4.0)
        share.prune_idle(1000.0)
        self.assertEqual(share.used("w", 1000.0), 0.0)

    def test_limits_and_removal_of_idle_callers(self):
        """A caller at its limit is refused, and removed once it has no unfinished jobs."""
        limiter = CallerLimiter()
        self.assertTrue(limiter.admit("w", "c", 4, max_jobs=2, max_accelerators=6))
        self.assertFalse(limiter.admit("w", "c", 4, max_jobs=2, max_accelerators=6))
        self.assertTrue(limiter.admit("w", "c", 2, max_jobs=2, max_accelerators=6))
        for accelerators in (4, 2):
            limiter.finish("w", "c", accelerators)
        self.assertEqual(limiter.callers(), 0)

    def test_estimates_follow_recent_run_times(self):
        """Measured run times replace the declared one, and recent ones replace older ones."""
        estimator = RunTimeEstimator()
        self.assertEqual(estimator.median_s("w", "k", 99.0), 99.0)
        for _ in range(64):
            estimator.record("w", "k", 1.0)
        self.assertEqual(estimator.median_s("w", "k", 99.0), 1.0)
        self.assertEqual(estimator.median_s("other", "k", 99.0), 1.0)
        for _ in range(64):
            estimator.record("w", "k", 10.0)
        self.assertEqual(estimator.p90_s("w", "k", 99.0), 10.0)

    def test_retries_are_limited_to_ratio_of_first_attempts(self):
        """With a ratio of 0.2, retries add a fifth to the load instead of multiplying it."""
        budget = RetryBudget(ratio=0.2, reserve=10.0)
        retries = 0
        for _ in range(1000):
            budget.record_first_attempt()
            while budget.try_acquire():
                retries += 1
        self.assertLessEqual(retries, 210)

    def test_pauses_stay_within_growing_bounds(self):
        """The bound of the pauses doubles with each failure up to the longest pause."""
        backoff = Backoff(first_s=0.1, longest_s=1.0, rng=random.Random(1))
        for failures, bound_s in ((1, 0.1), (2, 0.2), (5, 1.0), (99, 1.0)):
            self.assertTrue(bound_s / 4 <= backoff.pause_s(failures) <= bound_s)
