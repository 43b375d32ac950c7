"""Test environment that drives instances step by step on one thread and a stepped clock."""

import threading
import unittest
from concurrent.futures import Executor, Future
from dataclasses import replace

from catkinknot.coordination import JOBS, LEAD_KEY, RUNS, Claim, JobService, Tail, Verdict
from catkinknot.coordination._cluster_state import ClusterState
from catkinknot.coordination._election import Election
from catkinknot.coordination._leader import MAX_LEASE_AFTER_WRITE_S, Leader
from catkinknot.coordination._watch import needs_watch
from catkinknot.jobs import (
    Configuration,
    Job,
    JobPhase,
    JobRegistry,
    Policy,
    Queue,
    Resources,
    Step,
    Workspace,
)
from catkinknot.model import SteppedClock
from catkinknot_standins import KeyedStore, StoreView, TaskServers

CAPACITY = Resources(64_000, 131_072, 8)
STEP_S = 0.1
DEADLINE_S = 1e9
START_S = 100.0


def job(job_id: str, *steps: Step, priority: int = 1, workspace: str = "press", **policy) -> Job:
    """Return a job of the queue for its priority."""
    job_policy = Policy(f"queue-{priority}", "render", priority=priority, max_attempts=3, **policy)
    accepted_ms = int(START_S * 1000)
    return Job(job_id, workspace, job_policy, "work", steps or (step(),), accepted_ms)


def step(count: int = 1, *, cpu: int = 1000, memory: int = 1000, gpu: int = 1, **extra) -> Step:
    """Return a step of small tasks."""
    return Step(count, Resources(cpu, memory, gpu), estimate_ms=2000, **extra)


class InlineExecutor(Executor):
    """Executor that runs each call at submission."""

    def submit(self, fn, /, *args, **kwargs) -> Future:
        """Run a call and return its finished future."""
        done: Future = Future()
        done.set_result(fn(*args, **kwargs))
        return done


class NonBlockingEvent:
    """Event whose waits return at once."""

    def __init__(self, event: threading.Event) -> None:
        """Wrap an event."""
        self._event = event

    def is_set(self) -> bool:
        """Return whether the event is set."""
        return self._event.is_set()

    def wait(self, timeout: float | None = None) -> bool:
        """Return whether the event is set, without waiting."""
        return self._event.is_set()


class Environment:
    """Test environment: a store, servers, a configuration and a clock."""

    def __init__(self, servers: int = 2, *, work_s: float = 2.0) -> None:
        """Create an environment with some servers, all in one rack."""
        self.clock = SteppedClock(START_S)
        self.store = KeyedStore()
        self.servers = TaskServers(self.clock)
        self.config = Configuration(
            1,
            queues=tuple(
                Queue("host", f"/{n}/", Policy(f"queue-{n}", "render", priority=n))
                for n in (0, 1, 2)
            ),
            workspaces={
                "press": Workspace("press", frozenset({"key"}), guaranteed_accelerators=8),
                "other": Workspace("other", frozenset({"key-2"}), guaranteed_accelerators=8),
            },
        )
        for n in range(servers):
            self.servers.add(f"s{n}", CAPACITY, work_s=work_s)

    def running(self) -> dict[str, int]:
        """Return the run by task on all servers; fail on a task that runs twice."""
        found: dict[str, int] = {}
        for server in self.servers.all():
            for task, run in server.running().items():
                if task in found:
                    raise AssertionError(f"{task} runs twice at {self.clock.now():.1f}")
                found[task] = run
        return found


class Instance:
    """Instance that follows, claims and leads one step at a time."""

    def __init__(self, env: Environment, name: str) -> None:
        """Create a follower."""
        self.env = env
        self.name = name
        self.busy_topic = ""
        self.store = StoreView(env.store)
        self.registry = JobRegistry()
        self.tail = Tail(
            self.store,
            JOBS,
            clock=env.clock,
            on_snapshot=self._apply_snapshot,
            on_records=self._apply_records,
        )
        self.election = Election(
            name,
            store=self.store,
            tail=self.tail,
            clock=env.clock,
            make_leader=self._make_leader,
            rank=lambda: self.rank,
        )
        self.job_service = JobService(
            store=self.store,
            tail=self.tail,
            registry=self.registry,
            config=lambda: env.config,
            clock=env.clock,
        )
        self.rank: int | None = 0
        self.leader: Leader | None = None
        self.not_stopped = NonBlockingEvent(threading.Event())
        self.tail.catch_up()

    @property
    def cluster(self) -> ClusterState:
        """Cluster state of the leader."""
        return self.leader.cluster

    def lead(self) -> None:
        """Claim the leadership and take over, whatever the leader record says."""
        assert self.try_to_lead()

    def try_to_lead(self) -> bool:
        """Claim the leadership, and take over if the claim is accepted."""
        self.tail.catch_up()
        self.election._vacant_at_s = float("-inf")
        claim = self.election._claim()
        if claim is None:
            return False
        self.take_over(claim)
        return True

    def take_over(self, claim: Claim) -> None:
        """Take over without threads."""
        self.leader = self.prepare(claim)
        self.leader.begin()
        self.leader.apply_all()

    def prepare(self, claim: Claim) -> Leader:
        """Return a leader without threads of its own."""
        leader = self._make_leader(claim)
        leader._spawn = lambda *args: None
        leader._orders._pool = InlineExecutor()
        leader._orders._stopped = NonBlockingEvent(leader.stopped)
        return leader

    def step(self) -> None:
        """Run one iteration of each loop that an instance runs on threads."""
        if not self.store.faults.refuse:
            self.tail.catch_up()
        self.leader = None if self.leader and self.leader.deposed else self.leader
        if self.leader is None or self.leader.deposed:
            return
        if not self.store.faults.refuse:
            self.cluster.apply_listing(self.leader._listing.list().values())
        self.leader._planner.plan()
        self._flush()
        for view in list(self.cluster.servers.values()):
            if needs_watch(view):
                answer = self.leader._watcher.hold(view, 0.0)
                self.leader._watcher.acknowledge_recorded_ends(view, answer, threading.Event())
        self._flush()

    def _flush(self) -> None:
        """Write the queued records of each topic that is not busy, unless the store refuses calls.

        In a process each topic has a thread of its own, so one may be far behind the other.
        """
        if self.store.faults.refuse:
            return
        for topic in (RUNS, JOBS):
            if topic != self.busy_topic:
                self.leader.recorder.flush_topic(topic, self.not_stopped)

    def phase(self, job_id: str) -> JobPhase:
        """Return the phase that callers see."""
        self.tail.catch_up()
        return self.registry.get(job_id).reported_phase

    def _make_leader(self, claim: Claim) -> Leader:
        """Create a leader."""
        return Leader(
            claim,
            instance="test",
            store=self.store,
            registry=self.registry,
            listing=self.env.servers,
            calls=self.env.servers,
            config=lambda: self.env.config,
            clock=self.env.clock,
        )

    def _apply_snapshot(self, records) -> None:
        """Apply the newest record of every key."""
        self.registry.replace(records)
        if LEAD_KEY in records:
            self.election.on_leader_record(records[LEAD_KEY], fresh=False)
        self._notify_leader([entry.job.id for entry in self.registry.entries()])

    def _apply_records(self, records) -> None:
        """Apply new records."""
        changed = []
        for record in records:
            if record.key == LEAD_KEY:
                self.election.on_leader_record(record.value)
            else:
                changed.append(self.registry.apply(record.key, record.value))
        self._notify_leader([job_id for job_id in changed if job_id])

    def _notify_leader(self, job_ids: list[str]) -> None:
        """Notify the leader of changed jobs."""
        if self.leader is not None:
            self.leader.apply_changes(job_ids)


def run_for(env: Environment, instances: list[Instance], seconds: float, *, check=None) -> None:
    """Advance time in steps, and check after each that no task runs twice."""
    end_s = env.clock.now() + seconds
    while env.clock.now() < end_s:
        env.clock.advance(STEP_S)
        for instance in instances:
            instance.step()
        env.running()
        if check is not None:
            check()


MAX_LEASE_S = MAX_LEASE_AFTER_WRITE_S * 1.03 + 1.0


class Base(unittest.TestCase):
    """Base of the tests: an environment with one leader."""

    servers = 2
    work_s = 2.0

    def setUp(self) -> None:
        """Create a leader and a follower."""
        self.env = Environment(self.servers, work_s=self.work_s)
        self.first = Instance(self.env, "first")
        self.second = Instance(self.env, "second")
        self.first.lead()

    def submit(self, *new_jobs, at: Instance | None = None) -> None:
        """Submit jobs that are accepted now, by default through the follower."""
        accepted_ms = int(self.env.clock.wall() * 1000)
        for new_job in new_jobs:
            accepted = replace(new_job, accepted_ms=accepted_ms)
            answer = (at or self.second).job_service.submit(accepted, DEADLINE_S)
            self.assertEqual(answer.verdict, Verdict.ACCEPTED)

    def fill(self, name: str) -> None:
        """Let one of two servers run a task for good that leaves it three accelerators."""
        others = [s for s in self.env.servers.by_id.values() if s.listing.id != name]
        for server in others:
            server.listing = replace(server.listing, draining=True)
        self.env.servers.by_id[name].work_s = 1e6
        self.run_for(0.2)
        self.submit(job("f" * 16, step(1, gpu=5, service=True)))
        self.run_for(0.5)
        for server in others:
            server.listing = replace(server.listing, draining=False)
        self.run_for(0.2)

    def run_for(self, seconds: float) -> None:
        """Advance time for both instances."""
        run_for(self.env, [self.first, self.second], seconds)
