"""Tests of the job service."""

import unittest

from stepping import STEP_S, Base, Environment, Instance, job, run_for, step

from catkinknot.coordination import JOBS, Answer, Tail, Verdict
from catkinknot.coordination._early_cancels import EARLY_CANCEL_RETENTION_S
from catkinknot.coordination.exceptions import StoreRefusedError, StoreSilentError
from catkinknot.jobs import CANCEL_SUFFIX, JobPhase
from catkinknot_standins import StoreView

ID = "a" * 16
DEADLINE_S = 1e9


class SlowStore(StoreView):
    """Store that answers appends slowly and reads at once, or not at all."""

    def __init__(self, env: Environment, answer_s: float, *, tail: Tail | None) -> None:
        """Create a store whose appends take `answer_s`; `tail` reads during each of them."""
        super().__init__(env.store)
        self._clock = env.clock
        self._answer_s = answer_s
        self._tail = tail
        self.appends = 0

    def append(self, topic, records, *, fence=None, only_at=None, timeout_s=None) -> int:
        """Advance the clock by the duration of the append or its timeout."""
        self.appends += 1
        self._clock.advance(min(self._answer_s, timeout_s))
        if self._tail is not None:
            self._tail.step()
        if timeout_s < self._answer_s:
            raise StoreSilentError("no answer")
        return super().append(topic, records, fence=fence, only_at=only_at)


class TestJobService(unittest.TestCase):
    """The job service of an instance that does not lead."""

    def setUp(self) -> None:
        """Create a leader and another instance."""
        self.env = Environment()
        self.leader = Instance(self.env, "leader")
        self.leader.lead()
        self.here = Instance(self.env, "here")
        self.job_service = self.here.job_service
        self.call_deadline_s = self.env.clock.now() + 1.0

    def test_admission(self) -> None:
        """The queue is checked first, then the key."""
        cases = (
            ("host", "/0/", "key", None),
            ("host", "/9/", "key", Verdict.UNKNOWN_QUEUE),
            ("else", "/0/", "key", Verdict.UNKNOWN_QUEUE),
            ("host", "/0/", "wrong", Verdict.UNKNOWN_KEY),
        )
        for host, path, key, verdict in cases:
            with self.subTest(host=host, path=path, key=key):
                found = self.job_service.admit(host, path, key)
                self.assertEqual(found.verdict if isinstance(found, Answer) else None, verdict)

    def test_no_configuration(self) -> None:
        """Without a configuration, a call is refused with a delay to retry after."""
        self.env.config = None
        answer = self.job_service.admit("host", "/0/", "key")
        self.assertEqual(answer.verdict, Verdict.NO_CONFIG)
        self.assertGreater(answer.retry_after_s, 0)

    def test_job_of_another_instance(self) -> None:
        """A job accepted a moment ago elsewhere is known here."""
        self.leader.job_service.submit(job(ID), self.call_deadline_s)
        self.assertEqual(self.job_service.get_status(ID, DEADLINE_S).phase, JobPhase.QUEUED)

    def test_job_of_another_instance_that_has_just_ended(self) -> None:
        """A query reads the ledger first, so it shows the newest state."""
        self.leader.job_service.submit(job(ID), self.call_deadline_s)
        run_for(self.env, [self.leader, self.here], 1.5)
        run_for(self.env, [self.leader], 1.0)
        self.assertEqual(self.job_service.get_status(ID, DEADLINE_S).phase, JobPhase.COMPLETED)

    def test_older_state_while_the_store_refuses(self) -> None:
        """The state that was read last is shown while the store can't be read."""
        self.leader.job_service.submit(job(ID), self.call_deadline_s)
        self.here.tail.catch_up()
        run_for(self.env, [self.leader], 0.3)
        self.here.store.faults.refuse = True
        self.assertEqual(self.job_service.get_status(ID, DEADLINE_S).phase, JobPhase.QUEUED)

    def test_unknown_job(self) -> None:
        """A job that was never submitted is unknown to a query and a cancel."""
        self.assertEqual(self.job_service.get_status(ID, DEADLINE_S).verdict, Verdict.UNKNOWN_JOB)
        self.assertEqual(
            self.job_service.cancel(ID, self.call_deadline_s).verdict, Verdict.UNKNOWN_JOB
        )

    def test_unknown_job_while_the_store_is_unavailable(self) -> None:
        """A job is not reported as unknown while the ledger can't be read."""
        self.here.store.faults.refuse = True
        self.assertEqual(self.job_service.get_status(ID, DEADLINE_S).verdict, Verdict.UNSURE)

    def test_no_time_left(self) -> None:
        """Calls whose deadline has passed are answered without a call to the store.

        An instance that stops brings all deadlines forward. Each wait for a
        slow store would keep the process beyond its grace time.
        """
        past_s = self.env.clock.now()
        self.here.store.append = self.here.store.read = self.fail
        answers = (
            self.job_service.submit(job(ID), past_s, timeout_ms=3000),
            self.job_service.get_status(ID, past_s),
            self.job_service.cancel(ID, past_s),
        )
        for answer in answers:
            self.assertEqual(answer.verdict, Verdict.UNSURE)
            self.assertGreater(answer.retry_after_s, 0)

    def test_refused_submit_never_runs(self) -> None:
        """A refused submit has not reached the store, so its job never runs."""
        self.here.store.faults.refuse = True
        answer = self.job_service.submit(job(ID), self.call_deadline_s)
        self.assertEqual(answer.verdict, Verdict.REFUSED)
        self.here.store.faults.refuse = False
        run_for(self.env, [self.leader, self.here], 3.0)
        self.assertEqual(self.job_service.get_status(ID, DEADLINE_S).verdict, Verdict.UNKNOWN_JOB)

    def test_refusal_comes_at_once(self) -> None:
        """While the store refuses calls, a caller is answered well before its deadline."""
        self.here.store.faults.refuse = True
        before_s = self.env.clock.now()
        self.job_service.submit(job(ID), before_s + 3.0)
        self.assertLess(self.env.clock.now() - before_s, 0.5)

    def test_first_attempt_while_the_store_is_unavailable(self) -> None:
        """A first attempt is refused at once, and the job never runs."""
        self.env.clock.advance(5.0)
        now_s = self.env.clock.now()
        first = self.job_service.submit(job(ID), now_s + 3.0, timeout_ms=3000)
        self.assertEqual(first.verdict, Verdict.REFUSED)
        self.assertGreater(first.retry_after_s, 0)
        self.assertEqual(self.env.clock.now(), now_s)
        self.assertNotIn(ID, self.here.store.newest("keyed.jobs").records)

    def test_later_attempt_while_the_store_is_unavailable(self) -> None:
        """A later attempt is answered as unsure, and only after a wait.

        An earlier attempt may still reach the store through another instance.
        Without the wait, clients used up their attempts within milliseconds
        while the store was unavailable for seconds, as in an incident.
        """
        self.env.clock.advance(5.0)
        now_s = self.env.clock.now()
        later = self.job_service.submit(job(ID), now_s + 1.9, timeout_ms=3000)
        self.assertEqual(later.verdict, Verdict.UNSURE)
        self.assertGreater(later.retry_after_s, 0)
        self.assertGreater(self.env.clock.now() - now_s, 0.5)
        self.assertLess(self.env.clock.now() - now_s, 1.0)
        self.assertNotIn(ID, self.here.store.newest("keyed.jobs").records)

    def test_store_available_again_while_a_later_attempt_waits(self) -> None:
        """A later attempt is stored if the store is available again in time."""
        self.env.clock.advance(5.0)
        sleep = self.env.clock.sleep

        def sleep_then_catch_up(seconds: float) -> None:
            sleep(seconds)
            self.here.tail.catch_up()

        self.env.clock.sleep = sleep_then_catch_up
        later = self.job_service.submit(job(ID), self.env.clock.now() + 1.9, timeout_ms=3000)
        self.assertEqual(later.verdict, Verdict.ACCEPTED)

    def test_lost_answer(self) -> None:
        """An append without an answer is repeated, and the job runs once."""
        self.here.store.faults.lose = 1
        self.assertEqual(
            self.job_service.submit(job(ID), self.call_deadline_s).verdict, Verdict.ACCEPTED
        )
        run_for(self.env, [self.leader, self.here], 3.0)
        starts = [s for server in self.env.servers.all() for s in server.starts]
        self.assertEqual(len(starts), 1)

    def test_slow_store(self) -> None:
        """An append to a slow store that can be read may take until the caller's deadline.

        Otherwise each caller is refused after two short attempts, whose
        appends lengthen the queue of the store, and uses up its attempts at
        every instance.
        """
        slow = SlowStore(self.env, answer_s=1.0, tail=self.here.tail)
        self.job_service._store = slow
        self.here.tail._store = slow
        self.env.clock.advance(0.3)
        answer = self.job_service.submit(job(ID), self.env.clock.now() + 2.9)
        self.assertEqual(answer.verdict, Verdict.ACCEPTED)
        self.assertLessEqual(slow.appends, 2)

    def test_deadline_on_a_slow_store(self) -> None:
        """A caller is answered at its deadline that the outcome is unknown."""
        slow = SlowStore(self.env, answer_s=4.0, tail=self.here.tail)
        self.job_service._store = slow
        self.here.tail._store = slow
        self.env.clock.advance(0.3)
        began_s = self.env.clock.now()
        answer = self.job_service.submit(job(ID), began_s + 1.0)
        self.assertEqual(answer.verdict, Verdict.UNSURE)
        self.assertLessEqual(self.env.clock.now(), began_s + 1.0 + STEP_S)

    def test_store_falls_silent(self) -> None:
        """A caller at the beginning of an outage is answered within a third of its time.

        The store answers neither appends nor reads, but has not been silent for
        long enough to count as unavailable. The caller needs the rest of its time
        to come back.
        """
        silent = SlowStore(self.env, answer_s=60.0, tail=None)
        self.job_service._store = silent
        self.env.clock.advance(0.3)
        began_s = self.env.clock.now()
        answer = self.job_service.submit(job(ID), began_s + 2.95)
        self.assertEqual(answer.verdict, Verdict.UNSURE)
        self.assertGreater(answer.retry_after_s, 0)
        self.assertLessEqual(self.env.clock.now(), began_s + 1.0)

    def test_count(self) -> None:
        """Jobs that have not begun are counted, running and cancelled jobs are not."""
        queued_jobs = [job(f"{i:016x}", step(2, gpu=8)) for i in range(3)]
        for queued_job in queued_jobs:
            self.job_service.submit(queued_job, self.call_deadline_s)
        run_for(self.env, [self.leader, self.here], 0.5)
        queue, _ = self.job_service.admit("host", "/1/", "key")
        self.assertEqual(self.job_service.count(queue).waiting, 2)
        self.job_service.cancel(queued_jobs[2].id, self.env.clock.now() + 1.0)
        self.here.tail.catch_up()
        self.assertEqual(self.job_service.count(queue).waiting, 1)

    def test_cancel_after_the_end(self) -> None:
        """A cancel of an ended job changes nothing."""
        self.job_service.submit(job(ID), self.call_deadline_s)
        run_for(self.env, [self.leader, self.here], 3.0)
        self.job_service.cancel(ID, self.env.clock.now() + 1.0)
        self.assertEqual(self.job_service.get_status(ID, DEADLINE_S).phase, JobPhase.COMPLETED)


class TestEarlyCancels(Base):
    """Jobs whose cancel is acknowledged before their own record is stored.

    Guards against a submit that a frozen instance, or a late append, stores
    after the caller was told that no such job exists (review 9).
    """

    def cancel(self, at: Instance | None = None) -> Verdict:
        """Cancel the job, which no instance knows, through the follower or another one."""
        deadline_s = self.env.clock.now() + 1.0
        return (at or self.second).job_service.cancel(ID, deadline_s).verdict

    def cancel_records(self) -> int:
        """Return the number of cancel records in the history of the ledger."""
        records = self.env.store.topic(JOBS).records
        return sum(record.key == ID + CANCEL_SUFFIX and record.value != b"" for record in records)

    def assert_never_runs(self, *instances: Instance) -> None:
        """Check that no task of the job starts, and that it is shown as cancelled."""
        run_for(self.env, [*instances] or [self.first, self.second], 5.0)
        self.assertEqual([start for s in self.env.servers.all() for start in s.starts], [])
        at = instances[-1] if instances else self.second
        self.assertEqual(at.phase(ID), JobPhase.CANCELLED)

    def test_submit_after_its_cancel(self) -> None:
        """A job that arrives after its cancel was acknowledged never runs."""
        self.assertEqual(self.cancel(), Verdict.UNKNOWN_JOB)
        self.submit(job(ID), at=self.first)
        self.assert_never_runs()

    def test_late_append(self) -> None:
        """The same where the store executes the append of the job late.

        The caller may cancel at the instance that still waits for its append.
        """
        for name in ("first", "second"):
            with self.subTest(cancelled_at=name):
                self.setUp()
                self.second.store.faults.delay = 1
                deadline_s = self.env.clock.now() + 0.1
                self.second.job_service.submit(job(ID), deadline_s)
                self.assertEqual(self.cancel(getattr(self, name)), Verdict.UNKNOWN_JOB)
                self.env.store.apply_delayed_appends()
                self.assert_never_runs()

    def test_cancel_between_two_attempts_of_a_submit(self) -> None:
        """A submit that is repeated after the cancel stores a job that never runs."""
        append = self.second.store.append
        cancelled: list[Verdict] = []

        def lose_first(topic, records, **conditions) -> int:
            if cancelled or records[0].key != ID:
                return append(topic, records, **conditions)
            cancelled.append(self.cancel())
            raise StoreSilentError("no answer")

        self.second.store.append = lose_first
        self.submit(job(ID))
        self.assertEqual(cancelled, [Verdict.UNKNOWN_JOB])
        self.assert_never_runs()

    def test_next_leader(self) -> None:
        """The same where the next leader has only a snapshot of the ledger."""
        self.assertEqual(self.cancel(), Verdict.UNKNOWN_JOB)
        self.env.store.compact_topics()
        third = Instance(self.env, "third")
        third.lead()
        self.submit(job(ID), at=self.second)
        self.assert_never_runs(third)

    def test_repeated_cancel(self) -> None:
        """A cancel that the ledger holds is acknowledged without another record."""
        self.assertEqual(self.cancel(), Verdict.UNKNOWN_JOB)
        self.assertEqual(self.cancel(), Verdict.UNKNOWN_JOB)
        self.assertEqual(self.cancel(self.first), Verdict.UNKNOWN_JOB)
        self.assertEqual(self.cancel_records(), 1)

    def test_cancel_that_is_not_stored(self) -> None:
        """No cancel is acknowledged that the store has not accepted."""

        def refuse(*args, **kwargs) -> int:
            raise StoreRefusedError("the store returned status 503")

        self.second.store.append = refuse
        self.assertEqual(self.cancel(), Verdict.UNSURE)

    def test_record_is_purged(self) -> None:
        """The record of a cancel whose job never came is deleted in the end."""
        self.assertEqual(self.cancel(), Verdict.UNKNOWN_JOB)
        self.run_for(2.0)
        self.assertIn(ID + CANCEL_SUFFIX, self.env.store.topic(JOBS).newest)
        self.env.clock.advance(EARLY_CANCEL_RETENTION_S)
        self.run_for(1.0)
        self.assertNotIn(ID + CANCEL_SUFFIX, self.env.store.topic(JOBS).newest)
        self.assertEqual(self.second.registry.early_cancels(), frozenset())


if __name__ == "__main__":
    unittest.main()
