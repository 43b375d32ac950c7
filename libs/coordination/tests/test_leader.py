"""Tests of a leader under faults of servers, store and instances."""

import threading
import unittest
from dataclasses import replace

from stepping import (
    CAPACITY,
    DEADLINE_S,
    MAX_LEASE_S,
    Base,
    Instance,
    job,
    run_for,
    step,
)

from catkinknot.coordination import JOBS, RUNS, Verdict
from catkinknot.coordination._watch import needs_watch
from catkinknot.coordination.exceptions import StoreRefusedError, StoreSilentError
from catkinknot.jobs import (
    JobPhase,
    Resources,
    RunOutcome,
    StepKey,
    StepState,
    TaskPhase,
    read_step,
    write_step,
)

JOB = "b" * 16


class TestServing(Base):
    """Jobs without faults."""

    STATUS_S = 120.0
    """Time for which users are promised that they can read the state of an ended job."""

    def test_job_completes(self) -> None:
        """The second step of a job runs after the first."""
        self.submit(job("a" * 16, step(3), step(2, after=(0,))))
        self.run_for(1.0)
        self.assertEqual(self.second.phase("a" * 16), JobPhase.RUNNING)
        self.assertEqual(len(self.env.running()), 3)
        self.run_for(2.0)
        self.assertEqual(len(self.env.running()), 2)
        self.run_for(3.0)
        self.assertEqual(self.second.phase("a" * 16), JobPhase.COMPLETED)

    def test_gang_is_whole(self) -> None:
        """A gang starts no member while capacity is too small for all."""
        self.submit(job("a" * 16, step(2, gpu=8)), job("b" * 16, step(3, gpu=8, gang=True)))
        self.run_for(1.0)
        self.assertEqual({task[0] for task in self.env.running()}, {"a"})

    def test_repeated_submit_is_the_same_job(self) -> None:
        """A repeated submit through another instance starts no second run."""
        self.submit(job("a" * 16))
        self.submit(job("a" * 16), at=self.first)
        self.run_for(5.0)
        starts = [s for server in self.env.servers.all() for s in server.starts]
        self.assertEqual(len(starts), 1)

    def test_cancelled_job_is_stopped(self) -> None:
        """The runs of a cancelled job are stopped, and the job stays cancelled."""
        self.submit(job("a" * 16, step(4)))
        self.run_for(0.5)
        self.assertEqual(
            self.second.job_service.cancel("a" * 16, DEADLINE_S).verdict, Verdict.CANCELLED
        )
        self.run_for(0.5)
        self.assertEqual(self.env.running(), {})
        self.assertEqual(self.first.phase("a" * 16), JobPhase.CANCELLED)

    def test_ended_job_is_purged(self) -> None:
        """An ended job can be read for its retention time; later its records are deleted."""
        self.submit(job("a" * 16, step(2)))
        self.run_for(3.0)
        self.env.clock.advance(self.STATUS_S)
        self.run_for(0.5)
        self.assertEqual(self.second.phase("a" * 16), JobPhase.COMPLETED)
        self.env.clock.advance(600.0)
        self.run_for(0.5)
        for topic in (JOBS, RUNS):
            self.assertEqual(set(self.second.store.newest(topic).records), {"/lead"})
        self.second.tail.catch_up()
        self.assertIsNone(self.second.registry.get("a" * 16))

    def test_failing_job_fails(self) -> None:
        """A job fails once a task has used up the attempts that its queue allows."""
        for server in self.env.servers.all():
            server.faults.fail_tasks = True
        self.submit(job("a" * 16))
        self.run_for(30.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.FAILED)
        ends = [end for server in self.env.servers.all() for end in server.finished]
        self.assertEqual([end[3] for end in ends], [RunOutcome.FAILED] * 3)


class TestUrgentWork(Base):
    """Preemption for urgent work within a guarantee."""

    RECLAIM_S = 2.7
    """Longest time until guaranteed work has begun, as promised to users."""

    work_s = 20.0

    def test_urgent_job_preempts_others(self) -> None:
        """A job within its guarantee starts in time, and the victims run again later."""
        self.submit(job("a" * 16, step(2, gpu=8)))
        self.run_for(0.5)
        self.submit(job("b" * 16, step(1, gpu=8), priority=0))
        self.run_for(self.RECLAIM_S)
        self.assertIn("b" * 16 + ".0.0.0", self.env.running())
        self.run_for(60.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)

    def test_work_that_saves_at_a_stop_is_stopped_first(self) -> None:
        """Of two runs the one that resumes is stopped, although it has run for longer."""
        saving, other = "a" * 16, "c" * 16
        self.submit(job(saving, step(1, gpu=8, checkpoints=True)))
        self.run_for(4.0)
        self.submit(job(other, step(1, gpu=8)))
        self.run_for(2.0)
        self.submit(job("b" * 16, step(1, gpu=8), priority=0))
        self.run_for(self.RECLAIM_S)
        running = self.env.running()
        self.assertIn("b" * 16 + ".0.0.0", running)
        self.assertIn(f"{other}.0.0.0", running)
        self.assertNotIn(f"{saving}.0.0.0", running)

    def test_urgent_job_waits_for_capacity_about_to_be_free(self) -> None:
        """Work that is about to end is not preempted for a job that has time to wait."""
        self.submit(job("a" * 16, step(2, gpu=8)))
        self.run_for(self.work_s - 0.2)
        self.submit(job("b" * 16, step(1, gpu=8), priority=0, stretch=3.0))
        self.run_for(1.0)
        ends = [end[3] for server in self.env.servers.all() for end in server.finished]
        self.assertEqual(ends, [RunOutcome.DONE, RunOutcome.DONE])
        self.assertIn("b" * 16 + ".0.0.0", self.env.running())


class TestLostServers(Base):
    """Runs on servers that are lost or unreachable."""

    CANCEL_S = 3.0
    """Longest time until cancelled work is gone from a reachable server, as promised to users."""

    servers = 1

    def test_unresponsive_server_loses_its_lease(self) -> None:
        """The work of an unreachable server restarts elsewhere once its lease has expired.

        Guards against unanswered renewals that extend the lease, so that it
        never expires and the work never moves.
        """
        self.submit(job("a" * 16))
        self.run_for(0.5)
        self.env.servers.by_id["s0"].faults.drop_requests = True
        self.env.servers.add("s9", self.env.servers.by_id["s0"].listing.capacity)
        self.run_for(MAX_LEASE_S + 3.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)

    def test_unresponsive_server_does_not_block_orders(self) -> None:
        """Orders to an unreachable server do not occupy all senders.

        With a zone cut off, stops to its servers took all senders, and stops
        to other servers were seconds late.
        """
        server = self.env.servers.by_id["s0"]
        self.submit(job("a" * 16, step(8)))
        self.run_for(0.5)
        server.faults.drop_requests = True
        sent_orders = []
        reach = self.env.servers._deliver
        self.env.servers._deliver = lambda to, order: sent_orders.append(order) or reach(to, order)
        self.second.job_service.cancel("a" * 16, DEADLINE_S)
        self.run_for(3.0)
        self.assertLessEqual(len(sent_orders), 8)

    def test_connections_to_a_lost_server_are_closed(self) -> None:
        """Connections to a removed server are closed, and those to other servers kept."""
        gone = self.env.servers.by_id["s0"].listing
        self.submit(job("a" * 16))
        self.run_for(3.0)
        self.env.servers.unlisted.add("s0")
        self.env.servers.add("s9", CAPACITY)
        self.run_for(1.0)
        self.assertEqual(self.env.servers.forgotten, [gone.lifetime])

    def test_work_completed_while_unreachable_is_not_repeated(self) -> None:
        """A task that completed on an unreachable server stays done when the server is back.

        Guards against ignoring an end that is listed only after the lease has
        expired, which starts the task again (seen in scale-2).
        """
        for count, gang in ((1, False), (2, True)):
            with self.subTest(gang=gang):
                self.setUp()
                self.submit(job("a" * 16, step(count, gang=gang)))
                self.run_for(0.5)
                server = self.env.servers.by_id["s0"]
                server.faults.drop_requests = True
                self.run_for(MAX_LEASE_S)
                server.faults.drop_requests = False
                self.run_for(3.0)
                self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)
                self.assertEqual(len(server.starts), count)

    def test_done_end_of_a_restarted_task_is_not_acknowledged(self) -> None:
        """An end that is heard after its task was started again is never acknowledged.

        A server is cut off, completes its task unheard, and another server
        starts the task once the lease has expired. Acknowledging the first
        end afterwards would turn the second start into a repetition.
        """
        for count, gang in ((1, False), (2, True)):
            with self.subTest(gang=gang):
                self.setUp()
                self.submit(job("a" * 16, step(count, gang=gang)))
                self.run_for(0.5)
                server = self.env.servers.by_id["s0"]
                server.faults.drop_requests = True
                other = self.env.servers.add("s9", CAPACITY)
                self.run_for(MAX_LEASE_S)
                self.assertEqual(len(other.starts), count)
                server.faults.drop_requests = False
                self.run_for(3.0)
                self.assertFalse(needs_watch(self.first.cluster.servers[server.listing.lifetime]))
                self.env.servers.unlisted.add("s9")
                self.submit(job("b" * 16))
                self.run_for(4.0)
                self.assertEqual(self.first.phase("b" * 16), JobPhase.COMPLETED)
                self.assertEqual(server.acknowledged_at_s, {})
                self.assertEqual(len(server.starts), count + 1)

    def test_lapse_voids_an_earlier_done_end(self) -> None:
        """An end before a lapse of the lease is acknowledged with the ends after it."""
        self.env.servers.by_id["s0"].work_s = 2.0
        self.submit(job("a" * 16))
        self.run_for(0.5)
        server = self.env.servers.by_id["s0"]
        server.work_s = 60.0
        self.submit(job("b" * 16))
        self.run_for(0.5)
        server.faults.drop_requests = True
        self.env.servers.add("s9", CAPACITY)
        self.run_for(MAX_LEASE_S)
        server.faults.drop_requests = False
        self.run_for(3.0)
        view = self.first.cluster.servers[server.listing.lifetime]
        self.assertIsNone(view.withheld_end)
        self.assertEqual(view.seen_end, 2)

    def test_more_ends_than_one_answer_lists(self) -> None:
        """A run whose end is not listed yet is not taken for lost.

        An answer lists 500 ends at most. A run that is neither running nor
        among the first 500 has still ended, and must not be started again.
        """
        server = self.env.servers.by_id["s0"]
        server.listing = replace(server.listing, capacity=Resources(10**6, 10**6, 600))
        self.run_for(0.2)
        self.submit(job("a" * 16, step(600)))
        self.run_for(0.5)
        self.assertEqual(len(server.starts), 600)
        self.run_for(4.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)
        self.assertEqual(len(server.starts), 600)

    def test_unresponsive_server_is_used_again(self) -> None:
        """An unresponsive server without runs gets work once it answers again.

        Seed 43 of the soak: the call that acknowledged its last end got no
        answer, the server was never polled again, and a gang that needed
        every server waited forever.
        """
        self.submit(job("a" * 16))
        self.run_for(3.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)
        server = self.env.servers.by_id["s0"]
        server.faults.drop_requests = True
        self.first.leader._watcher.hold(self.first.cluster.servers[server.listing.lifetime], 0.0)
        self.run_for(1.0)
        server.faults.drop_requests = False
        self.submit(job("b" * 16))
        self.run_for(4.0)
        self.assertEqual(self.first.phase("b" * 16), JobPhase.COMPLETED)

    def test_stop_without_answer_is_repeated(self) -> None:
        """The runs of a cancelled job are stopped once their server is reachable again.

        Guards against a stop that is lost in a network partition and never
        sent again, so that the run continues to its end (seen in mix
        931517161527).
        """
        server = self.env.servers.by_id["s0"]
        server.work_s = 60.0
        self.submit(job("a" * 16))
        self.run_for(1.0)
        server.faults.drop_requests = True
        self.second.job_service.cancel("a" * 16, DEADLINE_S)
        self.run_for(3.0)
        server.faults.drop_requests = False
        self.run_for(self.CANCEL_S)
        self.assertEqual(self.env.running(), {})

    def test_start_without_answer_of_a_gang_that_is_done(self) -> None:
        """A run whose start got no answer is given up although its gang has completed.

        Guards against a run that nobody stops and no server lists, whose server
        stays full for as long as the leader leads.
        """
        self.env.servers.add("s1", CAPACITY, work_s=self.work_s)
        leader, start = self.first.leader, self.env.servers.start
        started: list[str] = []

        def lose_the_second_start(listing, order):
            """Answer the first start; the first member ends before the second gets an answer."""
            started.append(listing.lifetime)
            if len(started) == 2:
                self.env.servers.by_id[listing.id].faults.drop_requests = True
                self.env.clock.advance(self.work_s + 0.1)
                leader._watcher.hold(leader.cluster.servers[started[0]], 0.0)
            return start(listing, order)

        self.env.servers.start = lose_the_second_start
        self.submit(job("a" * 16, step(2, gpu=8, gang=True)))
        self.run_for(0.5)
        self.env.servers.start = start
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)
        for server in self.env.servers.all():
            server.faults.drop_requests = False
        self.run_for(MAX_LEASE_S)
        self.submit(job("b" * 16, step(2, gpu=8, gang=True)))
        self.run_for(1.0)
        self.assertEqual(set(self.env.running()), {f"{'b' * 16}.0.0.{n}" for n in range(2)})

    def test_restarted_server_has_lost_its_work(self) -> None:
        """Work of an earlier lifetime restarts without waiting for the lease to expire."""
        self.submit(job("a" * 16))
        self.run_for(0.5)
        self.env.servers.add("s0", self.env.servers.by_id["s0"].listing.capacity)
        self.run_for(3.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)

    def test_start_without_answer_runs_once(self) -> None:
        """An order that is executed late does not start a second run."""
        server = self.env.servers.by_id["s0"]
        other = self.env.servers.add("s9", server.listing.capacity)
        server.faults.late = other.faults.late = True
        self.submit(job("a" * 16))
        self.run_for(0.5)
        server.faults.late = other.faults.late = False
        for delayed in (server, other):
            delayed.execute_delayed_orders()
        self.run_for(12.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)


class TestZoneCut(Base):
    """Urgent gangs while the servers of a zone can't be reached."""

    servers = 0
    work_s = 30.0

    def setUp(self) -> None:
        """Create a zone of six servers, one of which has no runs, and one of two."""
        super().setUp()
        for n in range(6):
            self.env.servers.add(f"cut{n}", CAPACITY, zone="cut", work_s=self.work_s)
        for n in range(2):
            self.env.servers.add(f"up{n}", CAPACITY, zone="up", work_s=self.work_s)
        self.run_for(0.5)

    def _cut(self, reachable: bool) -> None:
        """Let all servers of the zone fall silent, or answer again."""
        for n in range(6):
            self.env.servers.by_id[f"cut{n}"].faults.drop_requests = not reachable

    def test_no_gang_is_sent_into_the_cut(self) -> None:
        """Once some servers of a zone are silent, idle ones of it get no urgent gang.

        Its start would get no answer, and the gang would wait for the end of a
        lease that was never granted before it can start elsewhere.
        """
        self.submit(job("a" * 16, step(7, gpu=8)))
        self.run_for(1.0)
        self._cut(reachable=False)
        self.run_for(3.0)
        idle = self._idle_server()
        self.submit(job("b" * 16, step(2, gpu=4, gang=True), priority=0))
        self.run_for(0.5)
        runs = {
            task
            for view in self.first.leader.cluster.servers.values()
            for task in view.runs
            if view.listing.id == idle
        }
        self.assertEqual(runs, set())

    def _idle_server(self) -> str:
        """Return the only server without runs."""
        (idle,) = (s.listing.id for s in self.env.servers.by_id.values() if not s.running())
        return idle

    def test_zone_is_used_again(self) -> None:
        """One answer from the zone is enough for its servers to get work again."""
        self.submit(job("a" * 16, step(7, gpu=8)))
        self.run_for(1.0)
        self._cut(reachable=False)
        self.run_for(3.0)
        self._cut(reachable=True)
        self.run_for(2.0)
        self.submit(job("b" * 16, step(1, gpu=8), priority=0))
        self.run_for(1.0)
        self.assertIn("b" * 16 + ".0.0.0", self.env.running())

    def test_single_silent_servers(self) -> None:
        """Servers that fall silent while others of their zone answer do not close the zone."""
        self.submit(job("a" * 16, step(7, gpu=8)))
        self.run_for(1.0)
        idle = self._idle_server()
        busy = [n for n in range(6) if f"cut{n}" != idle][:3]
        for n in busy:
            self.env.servers.by_id[f"cut{n}"].faults.drop_requests = True
        self.run_for(3.0)
        self.submit(job("b" * 16, step(1, gpu=8), priority=0))
        self.run_for(1.0)
        self.assertIn("b" * 16 + ".0.0.0", self.env.running())


class TestDrainingServers(Base):
    """Eviction of runs from servers that shut down at short notice."""

    NOTICE_MS = 1000

    def test_run_that_would_be_lost_is_evicted(self) -> None:
        """A run that can't end in time is stopped at the notice, and restarts elsewhere.

        Otherwise it is lost with its server, and restarts only once the lease
        has expired.
        """
        self.submit(job("a" * 16, step(2, gpu=4)))
        self.run_for(0.5)
        (name,) = {s.listing.id for s in self.env.servers.all() if s.running()}
        self.env.servers.drain(name, self.NOTICE_MS)
        self.run_for(self.NOTICE_MS / 1000)
        self.env.servers.by_id[name].crash()
        self.assertEqual(len(self.env.running()), 2)
        self.run_for(2.0)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)

    def test_run_that_ends_in_time_is_kept(self) -> None:
        """A run that is nearly done is not stopped."""
        self.submit(job("a" * 16, step(2, gpu=4)))
        self.run_for(1.5)
        (name,) = {s.listing.id for s in self.env.servers.all() if s.running()}
        self.env.servers.drain(name, self.NOTICE_MS)
        self.run_for(1.0)
        ends = {how for s in self.env.servers.all() for *_, how in s.finished}
        self.assertEqual(ends, {RunOutcome.DONE})

    def test_withdrawn_notice(self) -> None:
        """A server that withdraws its shutdown notice keeps its runs and gets more."""
        self.submit(job("a" * 16, step(2, gpu=4)))
        self.run_for(1.5)
        [server] = [s for s in self.env.servers.by_id.values() if s.running()]
        self.env.servers.drain(server.listing.id, self.NOTICE_MS)
        self.run_for(0.2)
        server.listing = replace(server.listing, draining=False)
        self.run_for(1.0)
        self.submit(job("b" * 16, step(16)))
        self.run_for(1.5)
        self.assertEqual(len(self.env.running()), 16)

    def test_gang_is_evicted_as_a_whole(self) -> None:
        """A gang with one member on a draining server restarts as one run."""
        self.submit(job("a" * 16, step(2, gpu=8, gang=True)))
        self.run_for(0.5)
        self.env.servers.add("s2", CAPACITY)
        self.env.servers.drain("s0", self.NOTICE_MS)
        self.run_for(1.0)
        runs = {run for server in self.env.servers.all() for run in server.running().values()}
        self.assertEqual(runs, {2})
        self.assertEqual(len(self.env.running()), 2)


class TestFailingRuns(Base):
    """Steps whose runs fail on the only server with capacity for them."""

    IDLE_LIMIT_S = 3.0
    """Time for which a job that can run may have nothing running."""

    def assert_runs_again(self, count: int) -> None:
        """Check that a job begins so many runs on the first server, none of them too late."""
        server = self.env.servers.by_id["s0"]
        self.run_for(count * (self.work_s + self.IDLE_LIMIT_S))
        starts_s = [s for s, task, _ in server.starts if task.startswith("a")]
        ends_s = [end[0] for end in server.finished if end[1].startswith("a")]
        self.assertGreaterEqual(len(starts_s), count)
        for start_s, end_s in zip(starts_s[1:], ends_s, strict=False):
            self.assertLess(start_s - end_s, self.IDLE_LIMIT_S)

    def test_others_are_full(self) -> None:
        """A job returns to the server it failed on while the others are full.

        Guards against a server that is avoided for as long as the leader
        leads, so that the job never runs again (review 5).
        """
        self.fill("s1")
        server = self.env.servers.by_id["s0"]
        server.faults.fail_tasks = True
        self.submit(job("a" * 16, step(1, gpu=4)))
        self.run_for(self.work_s + 0.5)
        server.faults.fail_tasks = False
        self.assert_runs_again(2)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)

    def test_server_that_fails_many_jobs(self) -> None:
        """A quarantine does not keep a job waiting while its server is the only one with room.

        The quarantine is longer than a job may have nothing running (the like
        of review 5).
        """
        self.fill("s1")
        server = self.env.servers.by_id["s0"]
        server.faults.fail_tasks = True
        self.submit(job("a" * 16, step(1, gpu=4)), job("c" * 16, step(1, gpu=4)))
        self.run_for(self.work_s + 0.5)
        server.faults.fail_tasks = False
        self.assertEqual(server.running(), {})
        self.run_for(self.IDLE_LIMIT_S)
        self.assertNotEqual(server.running(), {})
        self.run_for(2 * (self.IDLE_LIMIT_S + self.work_s))
        for name in ("a", "c"):
            self.assertEqual(self.first.phase(name * 16), JobPhase.COMPLETED)

    def test_others_are_too_small(self) -> None:
        """The same with servers that no run of the job ever fits on."""
        small = Resources(4000, 8000, 1)
        self.env.servers.by_id["s1"].listing = replace(
            self.env.servers.by_id["s1"].listing, capacity=small
        )
        self.run_for(0.2)
        server = self.env.servers.by_id["s0"]
        server.faults.fail_tasks = True
        self.submit(job("a" * 16, step(2, gpu=4, gang=True)))
        self.run_for(self.work_s + 0.5)
        server.faults.fail_tasks = False
        self.assert_runs_again(4)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)


class TestStalledRuns(Base):
    """Stalled runs on a responsive server."""

    STALL_LIMIT_S = 10.0
    """Time without progress after which a caller notices."""

    def test_stalled_task_is_moved(self) -> None:
        """A task without progress is stopped, and restarts on another server."""
        for name in ("s0", "s1"):
            self.env.servers.by_id[name].faults.hang_tasks = name == "s0"
        self.submit(job("a" * 16))
        self.run_for(self.STALL_LIMIT_S)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)

    def test_stalled_task_returns_if_it_has_to(self) -> None:
        """A task that stalled on the only server with capacity for it runs there again."""
        self.fill("s1")
        server = self.env.servers.by_id["s0"]
        server.faults.hang_tasks = True
        self.submit(job("a" * 16, step(1, gpu=4)))
        self.run_for(self.STALL_LIMIT_S / 2)
        server.faults.hang_tasks = False
        self.run_for(2 * self.STALL_LIMIT_S)
        self.assertEqual(self.first.phase("a" * 16), JobPhase.COMPLETED)


class TestChangeOfLeader(Base):
    """Changes of the leader."""

    def test_successor_adopts_runs(self) -> None:
        """The next leader adopts the runs and does not start them again."""
        self.submit(job("a" * 16, step(4)))
        self.run_for(0.5)
        self.second.lead()
        run_for(self.env, [self.second], 4.0)
        self.assertEqual(self.second.phase("a" * 16), JobPhase.COMPLETED)
        starts = [s for server in self.env.servers.all() for s in server.starts]
        self.assertEqual(len(starts), 4)

    def lead_without_storing_phases(self, *jobs, seconds: float) -> None:
        """Let the first leader store the runs of jobs but not their phases."""
        self.run_for(0.2)
        self.first.busy_topic = JOBS
        self.submit(*jobs)
        self.run_for(seconds)

    def test_job_that_failed_at_the_end_of_a_leader(self) -> None:
        """A job fails whose last failure was recorded, but not its phase.

        Guards against a job that no leader ends and that can't go on (review 8).
        """
        for server in self.env.servers.all():
            server.work_s, server.faults.fail_tasks = 0.1, True
        others = step(1, after=(0,))
        self.lead_without_storing_phases(job(JOB, step(), others), seconds=8.0)
        self.second.lead()
        run_for(self.env, [self.second], 1.0)
        self.assertEqual(self.second.phase(JOB), JobPhase.FAILED)
        self.assertEqual(sum(len(s.starts) for s in self.env.servers.all()), 3)

    def test_failure_that_two_leaders_could_not_store(self) -> None:
        """The same if the successor is lost before it has stored the phase."""
        for server in self.env.servers.all():
            server.work_s, server.faults.fail_tasks = 0.1, True
        self.second.busy_topic = JOBS
        self.lead_without_storing_phases(job(JOB), seconds=8.0)
        self.second.lead()
        run_for(self.env, [self.second], 1.0)
        self.assertNotEqual(self.second.phase(JOB), JobPhase.FAILED)
        third = Instance(self.env, "third")
        third.lead()
        run_for(self.env, [third], 1.0)
        self.assertEqual(third.phase(JOB), JobPhase.FAILED)

    def test_gang_that_failed_at_the_end_of_a_leader(self) -> None:
        """The members that are still running are stopped, and the job fails."""
        for server in self.env.servers.all():
            server.work_s = 1e6
        members = step(2, gpu=8, gang=True)
        self.lead_without_storing_phases(job(JOB, members), seconds=0.5)
        self.assertEqual(len(self.env.running()), 2)
        self.fail_member(failures=3)
        self.second.lead()
        run_for(self.env, [self.second], 1.0)
        self.assertEqual(self.second.phase(JOB), JobPhase.FAILED)
        self.assertEqual(self.env.running(), {})

    def test_gang_that_lost_a_member_at_the_end_of_a_leader(self) -> None:
        """The members that are still running are stopped, and the gang starts again."""
        for server in self.env.servers.all():
            server.work_s = 1e6
        members = step(2, gpu=8, gang=True)
        self.lead_without_storing_phases(job(JOB, members), seconds=0.5)
        self.fail_member(failures=1)
        self.second.lead()
        run_for(self.env, [self.second], 1.0)
        self.assertEqual(set(self.env.running().values()), {2})

    def fail_member(self, *, failures: int) -> None:
        """Let the first member of the gang fail, and record only that."""
        [server] = [s for s in self.env.servers.all() if f"{JOB}.0.0.0" in s.running()]
        server.crash()
        self.env.servers.add(server.listing.id, CAPACITY, work_s=1e6)
        newest = self.env.store.topic(RUNS).newest
        first, second = read_step(newest[f"{JOB}.0.0"], 2)
        first.phase, first.server = TaskPhase.WAITING, ""
        for task in (first, second):
            task.failures, task.failed_run = failures, task.run
        state = StepState(StepKey(JOB, 0, 0), step(2, gang=True), job(JOB), [first, second])
        newest[f"{JOB}.0.0"] = write_step(state)

    def test_phase_of_a_job_that_began_at_the_end_of_a_leader(self) -> None:
        """A job whose runs were recorded, but not its phase, is shown as running."""
        self.lead_without_storing_phases(job(JOB), seconds=0.5)
        self.second.lead()
        run_for(self.env, [self.second], 0.5)
        self.assertEqual(self.second.phase(JOB), JobPhase.RUNNING)

    def test_waiting_jobs_keep_their_order(self) -> None:
        """After a change of leader, the job that was accepted first gets the next server.

        Otherwise a large gang goes to the end of the line with each change,
        and smaller ones that came later pass it every time.
        """
        earlier, later = "f" * 16, "a" * 16
        self.submit(job("0" * 16, step(2, gpu=8)))
        self.run_for(0.5)
        self.submit(job(earlier, step(2, gpu=8, gang=True)))
        self.run_for(0.5)
        self.submit(job(later, step(2, gpu=8, gang=True)))
        self.second.lead()
        run_for(self.env, [self.second], 2.5)
        self.assertEqual(set(self.env.running()), {f"{earlier}.0.0.{n}" for n in range(2)})

    def test_deposed_leader_writes_nothing(self) -> None:
        """A replaced leader is fenced at its next write."""
        former = self.first.leader
        self.second.lead()
        self.submit(job("a" * 16), at=self.first)
        self.run_for(1.0)
        self.assertTrue(former.deposed)

    def test_job_accepted_during_take_over_is_known(self) -> None:
        """A job that arrives while the successor reads the store is not overlooked.

        Guards against a change that reaches no leader, which leaves the job
        waiting until its next change.
        """
        self.second.tail.catch_up()
        self.second.election._vacant_at_s = float("-inf")
        claim = self.second.election._claim()
        leader = self.second.prepare(claim)
        original_begin = leader.begin

        def begin_then_submit() -> None:
            original_begin()
            self.submit(job("b" * 16), at=self.first)
            self.second.tail.catch_up()

        leader.begin = begin_then_submit
        self.second.election._make_leader = lambda _: leader
        stopped = threading.Event()
        stopped.set()
        self.second.election._lead(claim, stopped)
        self.assertIn("b" * 16, leader.cluster.jobs)

    def test_job_started_during_a_claim_is_known(self) -> None:
        """A job that the predecessor started after the claim is not started again.

        Guards against a successor that reads the records of runs before the jobs
        that were accepted until its predecessor was fenced, and takes these jobs for
        new ones.
        """
        self.second.tail.catch_up()
        self.second.election._vacant_at_s = float("-inf")
        append, attempts = self.second.store.append, []

        def append_later(topic, records, **conditions) -> int:
            if topic == RUNS:
                attempts.append(topic)
                if len(attempts) == 1:
                    raise StoreSilentError("busy")
                self.submit(job(JOB), at=self.first)
                self.first.tail.catch_up()
                self.first.leader._planner.plan()
                self.first.leader.recorder.flush_topic(RUNS, self.first.not_stopped)
            return append(topic, records, **conditions)

        self.second.store.append = append_later
        claim = self.second.election._claim()
        [server] = [s for s in self.env.servers.all() if s.running()]
        self.env.servers.drain(server.listing.id, 60_000)
        self.second.take_over(claim)
        run_for(self.env, [self.second], 4.0)
        self.assertEqual(self.second.phase(JOB), JobPhase.COMPLETED)
        self.assertEqual(sum(len(s.starts) for s in self.env.servers.all()), 1)

    def test_old_leader_record_does_not_delay_the_election(self) -> None:
        """After all instances were lost, the first one to return leads within a second.

        Guards against treating the record that the lost leader left in the
        store as fresh, which kept callers waiting for 2 s more in an incident.
        """
        fresh = Instance(self.env, "fresh")
        self.assertFalse(fresh.election._leadership_vacant())
        for _ in range(3):
            self.env.clock.advance(0.4)
            fresh.tail.catch_up()
            vacant = fresh.election._leadership_vacant()
        self.assertTrue(vacant)

    def _poll_for(self, seconds: float, *, read: bool) -> list[bool]:
        """Let the second instance look for a leader each tenth of a second."""
        vacant = []
        for _ in range(round(seconds * 10)):
            self.env.clock.advance(0.1)
            if read:
                self.second.tail.catch_up()
            vacant.append(self.second.election._leadership_vacant())
        return vacant

    def test_leader_outlasts_a_silent_store(self) -> None:
        """After an outage of the store the leader gets time to renew its record.

        Otherwise every instance claims as soon as the store is back, the leader
        is deposed, and its runs are asked for by a successor that begins anew.
        """
        self.run_for(1.0)
        self._poll_for(0.3, read=True)
        self.assertFalse(any(self._poll_for(5.5, read=False)))
        self.assertFalse(any(self._poll_for(1.0, read=True)))
        self.first.leader.recorder.flush_topic(JOBS, self.first.not_stopped)
        self.assertFalse(any(self._poll_for(1.4, read=True)))

    def test_leader_lost_during_an_outage_of_the_store(self) -> None:
        """A leader that does not renew its record after an outage is replaced soon."""
        self.run_for(1.0)
        self._poll_for(0.3, read=True)
        self._poll_for(5.5, read=False)
        self.assertTrue(any(self._poll_for(1.5, read=True)))

    def test_claim_survives_a_busy_topic_of_runs(self) -> None:
        """A claimed epoch is announced to the topic of runs until it is stored.

        A claim that is abandoned half-way leaves nobody leading until another
        instance has waited for the timeout of a lost leader.
        """
        self.second.tail.catch_up()
        self.second.election._vacant_at_s = float("-inf")
        append, fenced = self.second.store.append, []

        def append_third_time(topic, records, **conditions) -> int:
            if topic == RUNS:
                fenced.append(conditions["fence"])
                if len(fenced) < 3:
                    raise (StoreSilentError, StoreRefusedError)[len(fenced) % 2]("busy")
            return append(topic, records, **conditions)

        self.second.store.append = append_third_time
        self.assertIsNotNone(self.second.election._claim())
        self.assertEqual(len(set(fenced)), 1)

    def test_resigned_leader_is_replaced(self) -> None:
        """After a resignation another instance leads at once, and the resigned one never again."""
        self.first.leader.resign()
        self.first.step()
        self.first.leader.depose()
        self.second.tail.catch_up()
        self.env.clock.advance(0.05)
        self.assertTrue(self.second.election._leadership_vacant())
        self.second.lead()
        self.submit(job("a" * 16))
        run_for(self.env, [self.second], 4.0)
        self.assertEqual(self.second.phase("a" * 16), JobPhase.COMPLETED)

    def test_successors_claim_in_turn(self) -> None:
        """After a resignation only the first in rank claims at once; the others leave it time.

        Hundreds of instances that claim together keep a slow store busy for
        seconds, while nobody leads.
        """
        followers = [self.second, *(Instance(self.env, f"f{n}") for n in range(30))]
        for rank, follower in enumerate(followers):
            follower.rank = rank if rank < 25 else None
        for _ in range(5):
            self.run_for(0.4)
            for follower in followers:
                follower.tail.catch_up()
                self.assertFalse(follower.election._leadership_vacant())
        self.first.leader.resign()
        self.first._flush()
        self.assertTrue(self.first.leader.recorder.resigned.is_set())
        for follower in followers:
            follower.tail.catch_up()
        self.env.clock.advance(0.05)
        vacant = [f.rank for f in followers if f.election._leadership_vacant()]
        self.assertEqual(vacant, [0])
        for _ in range(15):
            self.env.clock.advance(0.1)
            for follower in followers:
                follower.tail.catch_up()
            vacant = [follower.election._leadership_vacant() for follower in followers]
        self.assertTrue(all(vacant))

    def test_resignation_is_not_deferred(self) -> None:
        """A resignation is written at once also while phases wait for a slow store."""
        recorder = self.first.leader.recorder
        self.run_for(1.0)
        recorder._append_duration_s = 10.0
        recorder._phases_written_s = self.env.clock.now()
        self.first.leader.resign()
        self.first._flush()
        self.assertTrue(recorder.resigned.is_set())

    def test_active_leader_is_not_replaced(self) -> None:
        """A new instance that reads fresh leader records does not claim."""
        fresh = Instance(self.env, "fresh")
        run_for(self.env, [self.first, fresh], 5.0)
        self.assertFalse(fresh.election._leadership_vacant())

    def test_all_instances_lost(self) -> None:
        """A new instance restores all state from the store."""
        self.submit(job("a" * 16, step(3)), job("b" * 16, step(2), step(2, after=(0,))))
        self.run_for(0.5)
        self.env.store.compact_topics()
        fresh = Instance(self.env, "fresh")
        fresh.lead()
        run_for(self.env, [fresh], 8.0)
        self.assertEqual(fresh.phase("a" * 16), JobPhase.COMPLETED)
        self.assertEqual(fresh.phase("b" * 16), JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
