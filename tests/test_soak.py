"""Play short seeds of the soak, and check that its checks find what they are for."""

import socket
import tempfile
import unittest
from pathlib import Path

from catkinknot.coordination import Listing, StartOrder
from catkinknot.jobs import RunOutcome
from catkinknot.model import SteppedClock
from catkinknot_standins.soak import (
    CAPACITY,
    DriftingServer,
    Kind,
    ProxyFault,
    SubmittedJob,
    check_completed,
    check_history,
    draw,
    open_proxy,
    play,
)

JOB = "a" * 16
WAIT_S = 5.0
LEASE_MS = 9_000


def server(clock: SteppedClock, name: str = "s", **extra) -> DriftingServer:
    """Return a server that has just started."""
    labels = frozenset({"kind", "r"})
    listing = Listing(
        f"{name}@1", name, 1, "", "render", "a", "r", labels, CAPACITY, draining=False, clock_ms=1
    )
    return DriftingServer(listing, clock, work_s=2.0, **extra)


def start(lifetime: DriftingServer, task: str, run: int = 1) -> None:
    """Start a task with a long lease."""
    lifetime.order(StartOrder(task, run, "soak", lifetime.now_ms() + LEASE_MS, 1))


def work(count: int = 1, gpu: int = 1, **extra) -> SubmittedJob:
    """Return a job of one step that was accepted."""
    return SubmittedJob(JOB, f"/q0/{JOB}", [{"count": count, "gpu": gpu} | extra], [200], 1.0)


class TestChecks(unittest.TestCase):
    """Find broken promises in what servers saw."""

    def setUp(self) -> None:
        """Begin with two servers."""
        self.clock = SteppedClock(10.0)
        self.lifetimes = [server(self.clock, "s0"), server(self.clock, "s1", rate=0.985)]

    def _kinds(self, *works: SubmittedJob) -> set[str]:
        return {fault.partition(":")[0] for fault in check_history(list(works), self.lifetimes)}

    def test_sound_history(self) -> None:
        """A task that moves after its stop breaks nothing."""
        start(self.lifetimes[0], f"{JOB}.0.0.0")
        self.clock.advance(1.0)
        self.lifetimes[0].crash()
        start(self.lifetimes[1], f"{JOB}.0.0.0", 2)
        self.clock.advance(2.0)
        self.lifetimes[1].tick()
        self.assertEqual(self._kinds(work()), set())

    def test_two_at_once(self) -> None:
        """A task on two servers is found, also after both have ended."""
        start(self.lifetimes[0], f"{JOB}.0.0.0")
        self.clock.advance(1.0)
        start(self.lifetimes[1], f"{JOB}.0.0.0", 2)
        self.clock.advance(5.0)
        for lifetime in self.lifetimes:
            lifetime.tick()
        self.assertEqual(self._kinds(work()), {"TWICE"})

    def test_again_after_its_end(self) -> None:
        """A task that starts after an end that was noted is found."""
        start(self.lifetimes[0], f"{JOB}.0.0.0")
        self.clock.advance(2.5)
        self.lifetimes[0].hold(1, 0, 0)
        self.lifetimes[0].hold(1, 1, 0)
        start(self.lifetimes[1], f"{JOB}.0.0.0", 2)
        self.assertEqual(self._kinds(work()), {"TWICE"})

    def test_lapse_is_dated_by_the_lease(self) -> None:
        """A server that is looked at late does not seem to run on."""
        self.lifetimes[1].order(
            StartOrder(f"{JOB}.0.0.0", 1, "", self.lifetimes[1].now_ms() + 985, 1)
        )
        self.clock.advance(1.5)
        start(self.lifetimes[0], f"{JOB}.0.0.0", 2)
        self.clock.advance(1.0)
        self.lifetimes[1].tick()
        self.assertEqual(self._kinds(work()), set())

    def test_too_much_on_a_server(self) -> None:
        """More accelerators than a server has are found."""
        for n in range(3):
            start(self.lifetimes[0], f"{JOB}.0.0.{n}")
        self.assertEqual(self._kinds(work(3, 4)), {"LIMIT"})

    def test_refused_or_unknown(self) -> None:
        """A start of what was refused, or of what nobody sent, is found."""
        start(self.lifetimes[0], f"{JOB}.0.0.0")
        refused = work()
        refused.answers, refused.accepted_s = [503, 429], None
        self.assertEqual(self._kinds(refused), {"REFUSED"})
        self.assertEqual(self._kinds(), {"UNASKED"})

    def test_completed_too_soon(self) -> None:
        """A job that is shown as completed before all is done is found."""
        start(self.lifetimes[0], f"{JOB}.0.0.0")
        start(self.lifetimes[0], f"{JOB}.0.0.1")
        self.lifetimes[0].finished.append((11.0, f"{JOB}.0.0.0", 1, RunOutcome.DONE))
        self.assertEqual(len(check_completed(work(2), self.lifetimes)), 1)
        self.assertEqual(check_completed(work(2, gang=True), self.lifetimes), [])


class TestPlan(unittest.TestCase):
    """Draw faults."""

    def test_seed_decides(self) -> None:
        """A seed always brings the same faults; many seeds bring every kind."""
        self.assertEqual(draw(7, 12.0), draw(7, 12.0))
        seen = {event.kind for seed in range(200) for event in draw(seed, 12.0)}
        self.assertEqual(seen, set(Kind))


class TestProxy(unittest.TestCase):
    """Harm connections."""

    def setUp(self) -> None:
        """Relay to a listener."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        opened = open_proxy(self.listener.getsockname()[1])
        self.proxy = opened.__enter__()
        self.addCleanup(opened.__exit__, None, None, None)

    def _connect(self) -> tuple[socket.socket, socket.socket]:
        near = socket.create_connection(("127.0.0.1", self.proxy.port), timeout=WAIT_S)
        far, _ = self.listener.accept()
        far.settimeout(WAIT_S)
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        return near, far

    def test_passes_both_ways(self) -> None:
        """Bytes pass while nothing is wrong."""
        near, far = self._connect()
        near.sendall(b"ask")
        self.assertEqual(far.recv(10), b"ask")
        far.sendall(b"answer")
        self.assertEqual(near.recv(10), b"answer")

    def test_answers_are_lost_for_good(self) -> None:
        """A connection that lost a byte stays silent when all is well again."""
        near, far = self._connect()
        self.proxy.harm = ProxyFault.NO_ANSWERS
        near.sendall(b"ask")
        self.assertEqual(far.recv(10), b"ask")
        far.sendall(b"answer")
        while not self.proxy._pairs[0].dead:
            pass
        self.proxy.harm = ProxyFault.NONE
        far.sendall(b"more")
        near.settimeout(0.05)
        with self.assertRaises(TimeoutError):
            near.recv(10)

    def test_reset(self) -> None:
        """Open connections break, new ones work."""
        near, far = self._connect()
        near.sendall(b"ask")
        self.assertEqual(far.recv(10), b"ask")
        self.proxy.reset_all()
        with self.assertRaises(ConnectionResetError):
            near.recv(10)
        near, far = self._connect()
        near.sendall(b"again")
        self.assertEqual(far.recv(10), b"again")


class TestSoak(unittest.TestCase):
    """Play real processes under faults."""

    SECONDS = 4.0

    def test_seeds(self) -> None:
        """Short runs hold; every seed that ever failed stays here, with its cause."""
        seeds = {
            1: "a first one",
            9: "an instance's port was taken by another's outgoing connection",
            43: "a silent server without work was never asked again",
        }
        for seed, cause in seeds.items():
            with self.subTest(seed=seed, cause=cause), tempfile.TemporaryDirectory() as folder:
                result = play(
                    seed, Path(folder) / "run", seconds=self.SECONDS, instances=3, servers=6
                )
                self.assertEqual(result.faults, [], "\n".join(map(str, result.events)))
                self.assertGreater(result.accepted, 0)
                self.assertGreater(result.starts, 0)


if __name__ == "__main__":
    unittest.main()
