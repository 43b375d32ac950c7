"""Test orders to servers that have restarted under their identity."""

import unittest

from stepping import CAPACITY, MAX_LEASE_S, Base, Instance, job, run_for, step

from catkinknot.coordination import JOBS, RUNS
from catkinknot.coordination._orders import START_VALIDITY_S
from catkinknot.coordination._reconcile import STOP_RESEND_S
from catkinknot.coordination._watch import needs_watch
from catkinknot.coordination.exceptions import StoreSilentError
from catkinknot.jobs import JobPhase, RunOutcome

STOP_S = 0.2
"""A server takes this long to stop a run."""

FREEZE_S = 4.0

JOB = "b" * 16
TASK = f"{JOB}.0.0.0"


class TestRestartedServers(Base):
    """Starts that reach the next lifetime of a server, before its listing does.

    `run_for` fails on a task that runs twice at the same time. Guards against
    a task that is started elsewhere while its run is still being stopped in
    the next lifetime of its server (review 2).
    """

    def setUp(self) -> None:
        """Let the first server restart while its listing stays that of before."""
        super().setUp()
        self.run_for(0.5)
        self.restart()

    def restart(self, **extra) -> None:
        """Let the first server restart unnoticed."""
        servers = self.env.servers
        listed = servers.list()
        self.before = servers.by_id["s0"]
        self.after = servers.add("s0", CAPACITY, work_s=self.work_s, stop_s=STOP_S, **extra)
        servers.list = lambda: listed

    def show_restart(self) -> None:
        """Let the listing show all servers as they are."""
        del self.env.servers.list

    def starts(self) -> list[tuple[str, int]]:
        """Return the task and the run of each start."""
        return [(task, run) for s in self.env.servers.all() for _, task, run in s.starts]

    def assert_completes(self, *instances: Instance) -> None:
        """Check that the job completes, with one `done` end for each of its tasks."""
        run_for(self.env, [*instances] or [self.first, self.second], 2 * MAX_LEASE_S)
        last = instances[-1] if instances else self.second
        self.assertEqual(last.phase(JOB), JobPhase.COMPLETED)
        done = [
            end[1]
            for s in self.env.servers.all()
            for end in s.finished
            if end[3] is RunOutcome.DONE
        ]
        self.assertEqual(sorted(done), sorted(set(done)))

    def test_start_in_the_next_lifetime(self) -> None:
        """The run is stopped there, and the task is started elsewhere after that."""
        self.submit(job(JOB))
        self.run_for(0.1)
        self.assertEqual(self.starts(), [(TASK, 1)])
        self.run_for(0.5)
        self.assertEqual(self.starts(), [(TASK, 1), (TASK, 2)])
        self.assertEqual(self.after.finished[0][3], RunOutcome.STOPPED)
        self.assert_completes()

    def test_answers_that_name_no_lifetime(self) -> None:
        """The same where only the list of runs shows that another lifetime answers."""
        self.after.faults.anonymous = True
        self.submit(job(JOB))
        self.assert_completes()

    def test_start_without_answer(self) -> None:
        """A start whose answer was lost is stopped in the lifetime that is listed next."""
        self.after.faults.drop_answers = True
        self.submit(job(JOB))
        self.run_for(0.1)
        self.assertEqual(self.starts(), [(TASK, 1)])
        self.show_restart()
        self.run_for(0.3)
        self.after.faults.drop_answers = False
        self.assert_completes()

    def test_start_that_is_executed_late(self) -> None:
        """A start that arrives after the stop is refused by the next lifetime."""
        self.after.faults.late = True
        self.submit(job(JOB))
        self.run_for(0.1)
        self.show_restart()
        self.after.faults.late = False
        self.run_for(STOP_RESEND_S + 0.5)
        self.after.execute_delayed_orders()
        self.assertNotEqual(self.after.running().get(TASK), 1)
        self.assert_completes()

    def test_cut_before_the_stop(self) -> None:
        """A run that can't be stopped has lapsed before its task is started elsewhere."""
        send, orders = self.env.servers.stop, []

        def cut(listing, order):
            self.env.servers.by_id[listing.id].faults.drop_requests = True
            orders.append(order)
            return send(listing, order)

        self.env.servers.stop = cut
        self.after.work_s = 60.0
        self.submit(job(JOB))
        self.run_for(0.5)
        self.assertTrue(orders)
        self.assertEqual(self.starts(), [(TASK, 1)])
        self.env.servers.stop = send
        self.assert_completes()
        self.assertEqual(self.after.finished[0][3], RunOutcome.LAPSED)

    def test_second_restart(self) -> None:
        """A run that is being stopped is lost with the lifetime that showed it."""
        self.submit(job(JOB))
        self.run_for(0.1)
        self.show_restart()
        self.restart()
        self.assert_completes()
        self.assertEqual(self.starts().count((TASK, 1)), 1)

    def test_end_before_the_stop(self) -> None:
        """A run that is done before the stop reaches it counts, and is not repeated."""
        self.after.work_s = 0.05
        self.after.faults.anonymous = True
        start = self.env.servers.start

        def start_and_wait(listing, order):
            reply = start(listing, order)
            self.env.clock.advance(0.1)
            return reply

        self.env.servers.start = start_and_wait
        self.first.cluster.servers[self.before.listing.lifetime].seen_end = 57
        self.submit(job(JOB))
        self.run_for(1.0)
        self.assert_completes()
        self.assertEqual(self.starts(), [(TASK, 1)])

    def test_next_leader(self) -> None:
        """A leader that takes over meanwhile finds and stops the run as well."""
        for listed in (False, True):
            with self.subTest(listed=listed):
                self.setUp()
                self.after.faults.drop_answers = True
                self.submit(job(JOB))
                self.run_for(0.1)
                self.assertEqual(self.starts(), [(TASK, 1)])
                self.after.faults.drop_answers = False
                if listed:
                    self.show_restart()
                self.second.lead()
                run_for(self.env, [self.second], 0.6)
                if not listed:
                    self.show_restart()
                self.assert_completes(self.second)

    def test_gang(self) -> None:
        """All members stop before the gang is started again."""
        self.submit(job(JOB, step(2, gpu=8, gang=True)))
        self.run_for(0.6)
        self.show_restart()
        self.assert_completes()
        self.assertEqual({run for _, run in self.starts()}, {1, 2})

    def test_replaced_lifetime_is_not_used_again(self) -> None:
        """Until the listing shows the next lifetime, nothing more is sent to the server."""
        self.submit(job(JOB, step(12, gpu=1)))
        self.run_for(1.0)
        view = self.first.cluster.servers.get(self.before.listing.lifetime)
        self.assertFalse(view is not None and (view.listed or needs_watch(view)))
        self.show_restart()
        self.assert_completes()
        self.submit(job("c" * 16, step(16, gpu=1)))
        self.run_for(1.0)
        self.assertEqual(len(self.after.running()), 8)

    def test_run_that_the_lifetime_showed_is_lost_with_it(self) -> None:
        """A task at work in a lifetime that ends is started elsewhere at once."""
        self.show_restart()
        self.run_for(0.2)
        self.submit(job(JOB, step(16)))
        self.run_for(0.5)
        self.env.servers.add("s0", CAPACITY, work_s=self.work_s)
        self.run_for(0.2)
        self.assertEqual(len(self.env.running()), 16)


class TestSupersededLeader(Base):
    """Starts of a leader that was frozen, or has a successor that it has not noticed.

    `run_for` fails on a task that runs twice at the same time. Guards against
    a start that its successor takes for lost, and that a server executes which has
    restarted since and knows no fencing token (review 6).
    """

    work_s = 8.5

    def hold_up(self, meanwhile) -> None:
        """Call a function between the record of the next run and the answer to its append."""
        append = self.first.store.append

        def append_and_hold(topic, records, **conditions) -> int:
            offset = append(topic, records, **conditions)
            if topic == RUNS:
                self.first.store.append = append
                meanwhile()
            return offset

        self.first.store.append = append_and_hold

    def restart(self, name: str) -> None:
        """Let a server crash and start again; it gets no new work."""
        self.env.servers.add(name, CAPACITY, work_s=self.work_s)
        self.env.servers.drain(name, 60_000)

    def replace_leader_and_server(self) -> None:
        """Let another leader start the task elsewhere, then restart the server of its record."""
        name = self.assigned_server()
        self.env.servers.drain(name, 60_000)
        self.second.lead()
        run_for(self.env, [self.second], FREEZE_S)
        self.restart(name)

    def starts(self) -> list[tuple[str, int]]:
        """Return the server and the run of each start of the task, in order."""
        found = [
            (when_s, server.listing.id, run)
            for server in self.env.servers.all()
            for when_s, task, run in server.starts
            if task == TASK
        ]
        return [(name, run) for _, name, run in sorted(found)]

    def assigned_server(self) -> str:
        """Return the server that the record of the task names."""
        (state,) = self.first.cluster.jobs[JOB].steps.values()
        return state.tasks[0].server.partition("@")[0]

    def assert_completes(self) -> None:
        """Check that the successor completes the job."""
        run_for(self.env, [self.first, self.second], 2 * MAX_LEASE_S)
        self.assertEqual(self.second.phase(JOB), JobPhase.COMPLETED)

    def test_freeze_before_the_start(self) -> None:
        """A leader that wakes after its successor has begun sends no start."""

        def freeze() -> None:
            self.replace_leader_and_server()
            self.assertEqual([run for _, run in self.starts()], [2])

        self.submit(job(JOB))
        self.hold_up(freeze)
        self.run_for(1.0)
        self.assertEqual([run for _, run in self.starts()], [2])
        self.assertTrue(self.first.leader is None or self.first.leader.deposed)
        self.assert_completes()

    def test_freeze_between_two_attempts(self) -> None:
        """A start that got no answer is not repeated by a leader that has a successor."""
        pause = self.first.leader._orders._stopped.wait
        for server in self.env.servers.by_id.values():
            server.faults.drop_requests = True

        def freeze(timeout: float | None = None) -> bool:
            self.first.leader._orders._stopped.wait = pause
            for server in self.env.servers.by_id.values():
                server.faults.drop_requests = False
            self.replace_leader_and_server()
            return pause(timeout)

        self.first.leader._orders._stopped.wait = freeze
        self.submit(job(JOB))
        self.run_for(1.0)
        self.assertEqual([run for _, run in self.starts()], [2])
        self.assert_completes()

    def test_restart_while_the_start_may_be_sent(self) -> None:
        """The successor waits until the start of a recorded run can't be sent any more."""

        def delay() -> None:
            name = self.assigned_server()
            self.second.lead()
            run_for(self.env, [self.second], START_VALIDITY_S / 2)
            self.restart(name)

        self.submit(job(JOB))
        self.hold_up(delay)
        self.run_for(START_VALIDITY_S)
        self.assertEqual([run for _, run in self.starts()], [1, 2])
        self.assert_completes()

    def test_restart_of_a_server_that_showed_the_run(self) -> None:
        """A start that is repeated finds its run stopped in the server's next lifetime.

        The first leader did not hear of the run, the successor did.
        """
        self.submit(job(JOB))
        self.run_for(0.2)
        (name, _) = self.starts()[0]
        self.second.lead()
        run_for(self.env, [self.second], 0.2)
        view = self.first.cluster.servers[self.env.servers.by_id[name].listing.lifetime]
        run = view.runs[TASK]
        run.confirmed = False
        self.restart(name)
        self.first.leader._orders.start(self.first.cluster, view, run)
        self.run_for(0.5)
        self.assertEqual([run for _, run in self.starts()][:2], [1, 1])
        self.assert_completes()

    def test_unsent_start_of_a_lost_leader(self) -> None:
        """A recorded run that was never sent is replaced once the wait is over."""

        def lose() -> None:
            self.first.leader.depose()
            self.second.lead()

        self.submit(job(JOB))
        self.hold_up(lose)
        run_for(self.env, [self.first, self.second], START_VALIDITY_S + 0.5)
        self.assertEqual([run for _, run in self.starts()], [2])
        self.assert_completes()

    def test_start_is_not_repeated_once_its_run_is_seen(self) -> None:
        """A start without an answer is not sent again if the server lists the run."""
        self.submit(job(JOB))
        self.run_for(0.5)
        [run] = [run for view in self.first.cluster.servers.values() for run in view.runs.values()]
        [view] = [v for v in self.first.cluster.servers.values() if v.runs]
        self.env.servers.start = self.fail
        self.first.leader._orders.start(self.first.cluster, view, run)
        self.assertTrue(run.confirmed)

    def test_resigned_leader_sends_no_start(self) -> None:
        """A leader that resigns starts nothing more, and its successor need not wait."""

        def resign() -> None:
            self.first.leader.resign()
            self.first._flush()
            self.second.tail.catch_up()
            self.second.lead()

        self.run_for(0.5)
        self.submit(job(JOB))
        self.hold_up(resign)
        self.run_for(0.5)
        self.assertEqual([run for _, run in self.starts()], [2])
        self.assert_completes()

    def test_repeated_leader_record(self) -> None:
        """A leader record counts from its first attempt, which others may have read."""
        self.run_for(0.5)
        recorder, append = self.first.leader.recorder, self.first.store.append
        sent_s = []

        def lose_answer(topic, records, **conditions) -> int:
            sent_s.append(self.env.clock.now())
            append(topic, records, **conditions)
            if len(sent_s) > 1:
                return append(topic, records, **conditions)
            self.env.clock.advance(0.6)
            raise StoreSilentError("no answer")

        self.first.store.append = lose_answer
        recorder.after_renewal(lambda: None)
        recorder.flush_topic(JOBS, self.first.not_stopped)
        self.assertEqual(len(sent_s), 2)
        self.assertEqual(recorder.renewed_s, sent_s[0])

    def test_start_after_a_freeze_without_successor(self) -> None:
        """A leader that was frozen sends its start once the store has confirmed that it leads."""
        self.submit(job(JOB))
        self.hold_up(lambda: self.env.clock.advance(FREEZE_S))
        self.first.busy_topic = JOBS
        self.run_for(0.3)
        self.assertEqual(self.starts(), [])
        self.first.busy_topic = ""
        self.run_for(0.2)
        self.assertEqual([run for _, run in self.starts()], [1])
        self.assert_first_completes()

    def assert_first_completes(self) -> None:
        """Check that the first leader completes the job."""
        self.run_for(2 * MAX_LEASE_S)
        self.assertEqual(self.first.phase(JOB), JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
