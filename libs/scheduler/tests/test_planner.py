"""Check the decisions of one zone, step by step."""

import unittest

from catkinknot.model import (
    CallerLimits,
    Configuration,
    GuaranteedShape,
    JobRequest,
    Kind,
    ResultCode,
    Workspace,
    Zone,
)
from catkinknot.model.exceptions import RefusedError
from catkinknot.scheduler import DropJob, Job, JobState, Planner, StartJob, StopJob

ZONE = "z"


def config(servers: int = 2, **more) -> Configuration:
    """Describe a small zone with two workspaces."""
    kinds = (
        Kind("urgent", 9, 10.0, expected_s=1.0),
        Kind("batch", 0, 1e6, checkpointable=True, max_accelerators=16, expected_s=5.0),
        Kind("once", 3, 1e6, idempotent=False, durable=True, max_accelerators=16),
    )
    workspaces = (
        Workspace("owner", guarantee=(GuaranteedShape(8, 1, ZONE),)),
        Workspace("other", limits=CallerLimits(jobs=50)),
    )
    return Configuration("d", (Zone(ZONE, servers, 8, servers),), kinds, workspaces, **more)


class Rig:
    """Hold a planner and submit to it."""

    def __init__(self, cfg: Configuration | None = None) -> None:
        """Start with nothing running."""
        self.cfg = cfg or config()
        self.planner = Planner(self.cfg, ZONE)
        self.count = 0

    def submit(self, workspace: str, kind: str, size: int = 1, now: float = 0.0, **more) -> Job:
        """Submit a job."""
        self.count += 1
        caller = more.pop("caller", "c")
        request = JobRequest(workspace, kind, f"k{self.count}", caller, size)
        job = Job(request, self.cfg.kind(kind), now)
        self.planner.submit(job, now, **more)
        return job

    def plan(self, now: float = 0.0) -> list:
        """Decide."""
        return self.planner.plan(now)

    def fill(self, size: int = 8) -> list[Job]:
        """Let the other workspace borrow everything."""
        jobs = [self.submit("other", "batch", size) for _ in range(16 // size)]
        self.plan()
        return jobs


class TestGuarantees(unittest.TestCase):
    """Check reclaiming."""

    def test_owner_stops_borrowers_and_starts_after(self):
        """Victims get a checkpoint, and the owner starts when they have stopped."""
        rig = Rig()
        borrowers = rig.fill()
        owner = rig.submit("owner", "batch", 8)
        preemption_count = rig.plan(1.0)
        self.assertEqual([type(d) for d in preemption_count], [StopJob])
        self.assertTrue(preemption_count[0].checkpoint)
        self.assertIs(owner.state, JobState.HELD)
        self.assertEqual(rig.plan(1.5), [])
        victim = next(job for job in borrowers if job.state is JobState.STOPPING)
        rig.planner.stopped(victim.job_id, 1, 2.0, progress_s=1.0)
        starts = [d for d in rig.plan(2.0) if isinstance(d, StartJob)]
        self.assertEqual([d.job for d in starts], [owner])

    def test_work_that_cannot_stop_stays_off_the_guarantee(self):
        """A borrower that may not be stopped only goes where the shape survives."""
        rig = Rig()
        for _ in range(2):
            rig.submit("other", "once", 8)
        starts = rig.plan()
        self.assertEqual(len(starts), 1)
        rig.submit("owner", "once", 8)
        self.assertEqual(len([d for d in rig.plan() if isinstance(d, StartJob)]), 1)

    def test_victim_is_not_stopped_twice_for_one_place(self):
        """Planning again while a victim stops decides nothing more."""
        rig = Rig()
        rig.fill()
        rig.submit("owner", "batch", 8)
        rig.plan(1.0)
        self.assertEqual([rig.plan(1.0 + n / 10) for n in range(5)], [[]] * 5)

    def test_lost_server_breaks_a_hold(self):
        """A place that is lost while victims stop is given up for another."""
        rig = Rig()
        rig.fill()
        owner = rig.submit("owner", "batch", 8)
        stop = rig.plan(1.0)[0]
        rig.planner.fleet.set_cordoned(stop.placement.slices[0].server, True)
        rig.planner.not_started(stop.job_id, stop.attempt, 2.0)
        decisions = rig.plan(2.0)
        self.assertIn(StopJob, [type(d) for d in decisions])
        self.assertIs(owner.state, JobState.HELD)


class TestRefusals(unittest.TestCase):
    """Check early and true refusals."""

    def refused(self, rig: Rig, *args, **more) -> ResultCode:
        """Submit a job that must be refused and return the code."""
        with self.assertRaises(RefusedError) as caught:
            rig.submit(*args, **more)
        return caught.exception.code

    def test_codes(self):
        """Each reason has its code."""
        rig = Rig(config(queue_limit=3))
        self.assertIs(self.refused(rig, "other", "batch", 17), ResultCode.GANG_TOO_LARGE)
        self.assertIs(self.refused(rig, "other", "once", 16), ResultCode.GANG_TOO_LARGE)
        for _ in range(3):
            rig.submit("other", "batch", 8)
        self.assertIs(self.refused(rig, "other", "batch"), ResultCode.QUEUE_FULL)

    def test_caller_limit_counts_what_is_in_hand(self):
        """A caller is refused past its limit, another is not."""
        rig = Rig()
        for _ in range(50):
            rig.submit("other", "batch", caller="greedy")
        code = self.refused(rig, "other", "batch", caller="greedy")
        self.assertIs(code, ResultCode.CALLER_LIMIT)
        rig.submit("other", "batch", caller="modest")

    def test_deadline_is_judged_by_what_was_measured(self):
        """Declared times refuse nobody; measured ones do once a queue has formed."""
        rig = Rig()
        for _ in range(30):
            rig.submit("owner", "urgent", 8)
        for _ in range(4):
            rig.planner.estimator.record("owner", "urgent", 5.0)
        code = self.refused(rig, "owner", "urgent", 8)
        self.assertIs(code, ResultCode.DEADLINE_UNREACHABLE)

    def test_late_jobs_are_dropped_only_if_they_never_started(self):
        """A refusal for lateness is true."""
        rig = Rig()
        late = rig.submit("owner", "urgent", 8)
        ran = rig.submit("owner", "urgent", 8)
        ran.may_have_run = True
        drops = [d for d in rig.plan(11.0) if isinstance(d, DropJob)]
        self.assertEqual([d.job for d in drops], [late])


class TestLargeGangs(unittest.TestCase):
    """Check that large gangs do not starve."""

    def run_small_work(self, declared_s: float, true_s: float) -> float:
        """Keep small work coming and return when a large gang starts."""
        rig = Rig()
        rig.planner.estimator.record("other", "batch", declared_s)
        large = None
        ends: list[tuple[float, Job, int]] = []
        now = 0.0
        while now < 200.0:
            for end in [end for end in ends if end[0] <= now]:
                ends.remove(end)
                rig.planner.ended(end[1].job_id, end[2], now)
            if rig.planner.waiting < 4:
                rig.submit("other", "batch", 2, now, caller=f"c{rig.count % 9}")
            if large is None and now >= 5.0:
                large = rig.submit("other", "batch", 16, now, caller="large")
            for decision in rig.plan(now):
                match decision:
                    case StartJob(job=job, attempt=attempt):
                        if job is large:
                            return now
                        ends.append((now + true_s, job, attempt))
                    case StopJob(job_id=job_id, attempt=attempt):
                        rig.planner.stopped(job_id, attempt, now)
                        ends = [end for end in ends if end[1].job_id != job_id]
            now += 0.25
        return now

    def test_wait_is_bounded_whatever_was_declared(self):
        """Run times ten times off in either direction do not starve it."""
        for declared_s, true_s in ((5.0, 5.0), (0.5, 5.0), (50.0, 5.0)):
            with self.subTest(declared_s=declared_s):
                self.assertLess(self.run_small_work(declared_s, true_s), 60.0)


class TestFailures(unittest.TestCase):
    """Check retries and endings."""

    def fail_on(self, rig: Rig, job: Job, now: float) -> object:
        """Start a job and let it fail where it ran."""
        start = next(d for d in rig.plan(now) if isinstance(d, StartJob))
        server = start.placement.slices[0].server
        return rig.planner.failed(job.job_id, start.attempt, server, now)

    def test_job_that_fails_everywhere_ends(self):
        """After several different servers the job can never run."""
        rig = Rig(config(servers=4))
        job = rig.submit("other", "batch")
        self.assertIsNone(self.fail_on(rig, job, 0.0))
        self.assertIsNone(self.fail_on(rig, job, 10.0))
        drop = self.fail_on(rig, job, 20.0)
        self.assertIs(drop.code, ResultCode.JOB_CANNOT_RUN)
        self.assertEqual(len(job.failed_on), 3)

    def test_work_that_must_not_run_twice_is_not_retried(self):
        """Its first failure is its end."""
        rig = Rig()
        job = rig.submit("owner", "once")
        self.assertIs(self.fail_on(rig, job, 0.0).code, ResultCode.JOB_FAILED)

    def test_cancellation_wave_leaves_nothing(self):
        """After all jobs were cancelled nothing is held or counted."""
        rig = Rig()
        jobs = [rig.submit("other", "batch", caller=f"c{n}") for n in range(45)]
        rig.plan()
        for job in jobs:
            for decision in rig.planner.cancel(job.job_id, 1.0):
                if isinstance(decision, StopJob):
                    rig.planner.stopped(job.job_id, decision.attempt, 2.0)
        self.assertEqual((rig.planner.unfinished, rig.planner.waiting), (0, 0))
        self.assertEqual(rig.planner.fleet.free_accelerators, 16)
        self.assertEqual(rig.planner.accounting.running("other"), 0)

    def test_late_news_of_old_attempts_is_ignored(self):
        """Only the current attempt's end counts."""
        rig = Rig()
        job = rig.submit("other", "batch")
        rig.plan()
        rig.planner.not_started(job.job_id, 1, 0.0)
        rig.plan()
        self.assertIsNone(rig.planner.ended(job.job_id, 1, 1.0))
        self.assertIs(rig.planner.ended(job.job_id, 2, 1.0), job)
