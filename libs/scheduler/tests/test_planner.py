"""Tests of the planner of one zone with a controlled clock."""

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
    """Return a configuration of a small zone with two workspaces."""
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


class PlannerHarness:
    """Planner with helpers to submit jobs."""

    def __init__(self, cfg: Configuration | None = None) -> None:
        """Create a planner without jobs."""
        self.cfg = cfg or config()
        self.planner = Planner(self.cfg, ZONE)
        self.count = 0

    def submit(self, workspace: str, kind: str, size: int = 1, now: float = 0.0, **more) -> Job:
        """Submit a job and return it."""
        self.count += 1
        caller = more.pop("caller", "c")
        request = JobRequest(workspace, kind, f"k{self.count}", caller, size)
        job = Job(request, self.cfg.kind(kind), now)
        self.planner.submit(job, now, **more)
        return job

    def plan(self, now: float = 0.0) -> list:
        """Run one scheduling pass."""
        return self.planner.plan(now)

    def fill_with_borrowers(self, size: int = 8) -> list[Job]:
        """Let the other workspace borrow all accelerators."""
        jobs = [self.submit("other", "batch", size) for _ in range(16 // size)]
        self.plan()
        return jobs


class TestGuarantees(unittest.TestCase):
    """Tests of reclaiming guaranteed accelerators from borrowers."""

    def test_owner_preempts_borrower_then_starts(self):
        """The victim writes a checkpoint; the owner starts only after the victim has stopped."""
        harness = PlannerHarness()
        borrowers = harness.fill_with_borrowers()
        owner = harness.submit("owner", "batch", 8)
        stops = harness.plan(1.0)
        self.assertEqual([type(d) for d in stops], [StopJob])
        self.assertTrue(stops[0].checkpoint)
        self.assertIs(owner.state, JobState.HELD)
        self.assertEqual(harness.plan(1.5), [])
        victim = next(job for job in borrowers if job.state is JobState.STOPPING)
        harness.planner.stopped(victim.job_id, 1, 2.0, progress_s=1.0)
        starts = [d for d in harness.plan(2.0) if isinstance(d, StartJob)]
        self.assertEqual([d.job for d in starts], [owner])

    def test_non_preemptible_borrower_leaves_guarantee_placeable(self):
        """A borrower that is not preemptible must not block the guaranteed shape."""
        harness = PlannerHarness()
        for _ in range(2):
            harness.submit("other", "once", 8)
        starts = harness.plan()
        self.assertEqual(len(starts), 1)
        harness.submit("owner", "once", 8)
        self.assertEqual(len([d for d in harness.plan() if isinstance(d, StartJob)]), 1)

    def test_victim_is_stopped_only_once(self):
        """Further passes while a victim is stopping must not decide anything again."""
        harness = PlannerHarness()
        harness.fill_with_borrowers()
        harness.submit("owner", "batch", 8)
        harness.plan(1.0)
        self.assertEqual([harness.plan(1.0 + n / 10) for n in range(5)], [[]] * 5)

    def test_cordoned_server_breaks_hold(self):
        """A hold on a server cordoned while the victim stops is replaced by another one."""
        harness = PlannerHarness()
        harness.fill_with_borrowers()
        owner = harness.submit("owner", "batch", 8)
        stop = harness.plan(1.0)[0]
        harness.planner.fleet.set_cordoned(stop.placement.slices[0].server, True)
        harness.planner.not_started(stop.job_id, stop.attempt, 2.0)
        decisions = harness.plan(2.0)
        self.assertIn(StopJob, [type(d) for d in decisions])
        self.assertIs(owner.state, JobState.HELD)


class TestRefusals(unittest.TestCase):
    """Tests of refusals at submission and of drops while waiting."""

    def refusal_code(self, harness: PlannerHarness, *args, **more) -> ResultCode:
        """Submit a job that must be refused and return the result code."""
        with self.assertRaises(RefusedError) as caught:
            harness.submit(*args, **more)
        return caught.exception.code

    def test_each_refusal_has_its_code(self):
        """Gangs that never fit and a full queue are refused with their own codes."""
        harness = PlannerHarness(config(queue_limit=3))
        self.assertIs(self.refusal_code(harness, "other", "batch", 17), ResultCode.GANG_TOO_LARGE)
        self.assertIs(self.refusal_code(harness, "other", "once", 16), ResultCode.GANG_TOO_LARGE)
        for _ in range(3):
            harness.submit("other", "batch", 8)
        self.assertIs(self.refusal_code(harness, "other", "batch"), ResultCode.QUEUE_FULL)

    def test_caller_limit_counts_unfinished_jobs(self):
        """A caller at its limit is refused; another caller of the workspace is not."""
        harness = PlannerHarness()
        for _ in range(50):
            harness.submit("other", "batch", caller="greedy")
        code = self.refusal_code(harness, "other", "batch", caller="greedy")
        self.assertIs(code, ResultCode.CALLER_LIMIT)
        harness.submit("other", "batch", caller="modest")

    def test_deadline_check_uses_measured_run_times(self):
        """Declared run times refuse no job; measured ones do once jobs are queued."""
        harness = PlannerHarness()
        for _ in range(30):
            harness.submit("owner", "urgent", 8)
        for _ in range(4):
            harness.planner.estimator.record("owner", "urgent", 5.0)
        code = self.refusal_code(harness, "owner", "urgent", 8)
        self.assertIs(code, ResultCode.DEADLINE_UNREACHABLE)

    def test_expired_jobs_are_dropped_only_if_never_started(self):
        """DEADLINE_PASSED promises that the job never ran, so a started job is not dropped."""
        harness = PlannerHarness()
        expired = harness.submit("owner", "urgent", 8)
        started = harness.submit("owner", "urgent", 8)
        started.may_have_run = True
        drops = [d for d in harness.plan(11.0) if isinstance(d, DropJob)]
        self.assertEqual([d.job for d in drops], [expired])


class TestReservations(unittest.TestCase):
    """Tests that large gangs do not starve behind small jobs."""

    def start_of_large_gang_s(self, recorded_s: float, true_s: float) -> float:
        """Submit small jobs all the time and return when a large gang starts."""
        harness = PlannerHarness()
        harness.planner.estimator.record("other", "batch", recorded_s)
        large = None
        ends: list[tuple[float, Job, int]] = []
        now = 0.0
        while now < 200.0:
            for end in [end for end in ends if end[0] <= now]:
                ends.remove(end)
                harness.planner.ended(end[1].job_id, end[2], now)
            if harness.planner.waiting < 4:
                harness.submit("other", "batch", 2, now, caller=f"c{harness.count % 9}")
            if large is None and now >= 5.0:
                large = harness.submit("other", "batch", 16, now, caller="large")
            for decision in harness.plan(now):
                match decision:
                    case StartJob(job=job, attempt=attempt):
                        if job is large:
                            return now
                        ends.append((now + true_s, job, attempt))
                    case StopJob(job_id=job_id, attempt=attempt):
                        harness.planner.stopped(job_id, attempt, now)
                        ends = [end for end in ends if end[1].job_id != job_id]
            now += 0.25
        return now

    def test_wait_is_bounded_with_wrong_estimates(self):
        """Estimates wrong by a factor of ten in either direction must not starve a large gang."""
        for recorded_s, true_s in ((5.0, 5.0), (0.5, 5.0), (50.0, 5.0)):
            with self.subTest(recorded_s=recorded_s):
                self.assertLess(self.start_of_large_gang_s(recorded_s, true_s), 60.0)


class TestFailures(unittest.TestCase):
    """Tests of retries, cancellation and reports of old attempts."""

    def start_and_fail(self, harness: PlannerHarness, job: Job, now: float) -> object:
        """Start a job and report its failure on the server it ran on."""
        start = next(d for d in harness.plan(now) if isinstance(d, StartJob))
        server = start.placement.slices[0].server
        return harness.planner.failed(job.job_id, start.attempt, server, now)

    def test_job_that_fails_everywhere_ends(self):
        """A job that failed on several servers is dropped instead of retried without end."""
        harness = PlannerHarness(config(servers=4))
        job = harness.submit("other", "batch")
        self.assertIsNone(self.start_and_fail(harness, job, 0.0))
        self.assertIsNone(self.start_and_fail(harness, job, 10.0))
        drop = self.start_and_fail(harness, job, 20.0)
        self.assertIs(drop.code, ResultCode.JOB_CANNOT_RUN)
        self.assertEqual(len(job.failed_on), 3)

    def test_job_returns_to_a_server_if_it_has_to(self):
        """A job starts again on the server it failed on while the others are full.

        Guards against a job that waits beside an idle server until others end
        (the like of review 5).
        """
        harness = PlannerHarness()
        first, second = harness.fill_with_borrowers()
        failed_on = harness.planner.placement(second.job_id).slices[0].server
        harness.planner.failed(second.job_id, 1, failed_on, 1.0)
        starts = [d for d in harness.plan(20.0) if isinstance(d, StartJob)]
        self.assertEqual([d.job for d in starts], [second])
        self.assertIs(first.state, JobState.RUNNING)

    def test_job_prefers_servers_it_did_not_fail_on(self):
        """A job starts again on another server as long as one has capacity."""
        harness = PlannerHarness()
        job = harness.submit("other", "batch", 8)
        self.assertIsNone(self.start_and_fail(harness, job, 0.0))
        start = next(d for d in harness.plan(20.0) if isinstance(d, StartJob))
        self.assertNotIn(start.placement.slices[0].server, job.failed_on)

    def test_non_idempotent_job_is_not_retried(self):
        """A job that is not idempotent ends with its first failure."""
        harness = PlannerHarness()
        job = harness.submit("owner", "once")
        self.assertIs(self.start_and_fail(harness, job, 0.0).code, ResultCode.JOB_FAILED)

    def test_mass_cancellation_releases_everything(self):
        """After all jobs are cancelled, no accelerators, queue entries or usage remain."""
        harness = PlannerHarness()
        jobs = [harness.submit("other", "batch", caller=f"c{n}") for n in range(45)]
        harness.plan()
        for job in jobs:
            for decision in harness.planner.cancel(job.job_id, 1.0):
                if isinstance(decision, StopJob):
                    harness.planner.stopped(job.job_id, decision.attempt, 2.0)
        self.assertEqual((harness.planner.unfinished, harness.planner.waiting), (0, 0))
        self.assertEqual(harness.planner.fleet.free_accelerators, 16)
        self.assertEqual(harness.planner.accounting.running("other"), 0)

    def test_reports_of_old_attempts_are_ignored(self):
        """A report about an earlier attempt must not end the current one."""
        harness = PlannerHarness()
        job = harness.submit("other", "batch")
        harness.plan()
        harness.planner.not_started(job.job_id, 1, 0.0)
        harness.plan()
        self.assertIsNone(harness.planner.ended(job.job_id, 1, 1.0))
        self.assertIs(harness.planner.ended(job.job_id, 2, 1.0), job)
