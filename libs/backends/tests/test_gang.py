"""Test gang starts, server leases and the watch of a server."""

import unittest
from dataclasses import replace

from catkinknot.backends import (
    Claim,
    Epoch,
    GangStart,
    GangStarter,
    Poll,
    Reserve,
    ServerWatch,
    Stop,
    WatchListener,
    lease_ttl_s,
    poll_wait_s,
)
from catkinknot.backends.exceptions import BackendRefusedError, BackendUnreachableError
from catkinknot.model import JobId, SteppedClock
from catkinknot.placement import Placement, Slice
from catkinknot_standins import BackendServer, Faults

EPOCH = Epoch(1)
SERVERS = ("s0", "s1", "s2")


class FaultyClient:
    """Client that forwards requests, but fails one kind before or after its effect."""

    def __init__(self, target: BackendServer, verb: str, when: str) -> None:
        """Set the request that fails and when it fails.

        Args:
            target: The emulated server.
            verb: The kind of request that fails.
            when: ``before`` or ``after`` its effect, or ``gone`` if the server
                does not respond to any request after that either.
        """
        self.server = target.server
        self._target = target
        self._verb = verb
        self._when = when

    def __getattr__(self, verb: str):
        """Return a request method that may fail."""

        def send(req):
            """Forward one request, or raise the planned error."""
            fails = verb == self._verb and self._when
            if fails and self._when == "before":
                raise BackendUnreachableError(self.server, "cut before")
            answer = getattr(self._target, verb)(req)
            if fails and self._when == "after":
                raise BackendUnreachableError(self.server, "cut after")
            if fails and self._when == "gone":
                self._target.set_faults(Faults(out=True))
                raise BackendUnreachableError(self.server, "gone")
            return answer

        return send


class GangHarness:
    """Three emulated servers claimed by one holder."""

    def __init__(self) -> None:
        """Claim all servers."""
        self.clock = SteppedClock(10.0)
        self.servers = {name: BackendServer(name, clock=self.clock) for name in SERVERS}
        for server in self.servers.values():
            server.claim(Claim("h", EPOCH, 100.0))

    def start(self, clients, *, idempotent: bool = True, leases_valid=lambda: True, body=None):
        """Start a gang on all servers."""
        placement = Placement(tuple(Slice(name, 0b11) for name in clients))
        gang = GangStart(JobId("w", "k"), 1, "kind", body or {}, placement, idempotent)
        return GangStarter("h", lambda name: clients[name]).start(gang, EPOCH, leases_valid)

    def busy_servers(self) -> int:
        """Return the number of servers with allocated accelerators."""
        return sum(bool(server.active_masks()) for server in self.servers.values())


class TestAllOrNothing(unittest.TestCase):
    """Tests of failures at each phase of a gang start."""

    def test_fault_table(self):
        """A request that fails at any phase must leave no allocation or task for good.

        Reservations and unconfirmed tasks expire within seconds. Only a member
        whose extension took effect, but which cannot be stopped, stays until
        its longer time to live has passed.
        """
        for verb in ("reserve", "start", "extend"):
            for when in ("before", "after", "gone"):
                for rank in range(3):
                    with self.subTest(verb=verb, when=when, rank=rank):
                        self._check(verb, when, SERVERS[rank])

    def _check(self, verb: str, when: str, name: str) -> None:
        """Fail one request and check the servers after the reservations have expired."""
        harness = GangHarness()
        clients = dict(harness.servers)
        clients[name] = FaultyClient(harness.servers[name], verb, when)
        report = harness.start(clients)
        self.assertFalse(report.started)
        self.assertEqual(report.may_run, verb == "extend")
        harness.clock.advance(5.0)
        for server in harness.servers.values():
            server.set_faults(Faults())
        still_active = [n for n, s in harness.servers.items() if s.active_masks()]
        self.assertIn(still_active, ([], [name] if verb == "extend" and when != "before" else []))
        harness.clock.advance(200.0)
        self.assertEqual(harness.busy_servers(), 0)

    def test_no_work_before_all_have_started(self):
        """A start that fails on one member must find the others without any work done."""
        harness = GangHarness()
        clients = dict(harness.servers)
        clients["s2"] = FaultyClient(harness.servers["s2"], "start", "before")
        harness.start(clients)
        self.assertEqual([server.starts for server in harness.servers.values()], [[], [], []])

    def test_holder_that_lost_its_leases_starts_nothing(self):
        """A holder whose leases expire while it reserves must release all reservations."""
        harness = GangHarness()
        report = harness.start(harness.servers, leases_valid=lambda: False)
        self.assertFalse(report.started or report.may_run)
        self.assertTrue(harness.start(harness.servers).started)

    def test_unresolved_start_of_non_idempotent_job_is_not_stopped(self):
        """A lost response to the start must not stop a job that may run only once.

        The start must not be reported as certainly not made either.
        """
        harness = GangHarness()
        clients = {"s0": FaultyClient(harness.servers["s0"], "start", "after")}
        report = harness.start(clients, idempotent=False, body={"duration_s": 60})
        self.assertTrue(report.may_run)
        self.assertEqual(harness.busy_servers(), 1)

    def test_concurrent_starts_do_not_deadlock(self):
        """Of two gangs that need the same servers, one starts and one releases all of them."""
        harness = GangHarness()
        self.assertTrue(harness.start(harness.servers, body={"duration_s": 60}).started)
        placement = Placement(tuple(Slice(name, 0b110) for name in reversed(SERVERS)))
        rival = GangStart(JobId("w", "rival"), 1, "kind", {}, placement, True)
        report = GangStarter("h", lambda name: harness.servers[name]).start(
            rival, EPOCH, lambda: True
        )
        self.assertFalse(report.started or report.may_run)


class TestServerLease(unittest.TestCase):
    """Tests of the lease rules of the emulated server."""

    def test_claims(self):
        """A claim is granted or refused by epoch, holder and expiry."""
        for name, holder, epoch, later_s, result in (
            ("renewal", "h", EPOCH, 0.0, "ok"),
            ("higher term at once", "x", Epoch(2), 0.0, "ok"),
            ("higher bump before expiry", "x", Epoch(1, 5), 0.0, "held"),
            ("higher bump after expiry", "x", Epoch(1, 5), 101.0, "ok"),
            ("same epoch, other holder", "x", EPOCH, 101.0, "foreign"),
            ("older term", "x", Epoch(0, 9), 101.0, "old_epoch"),
        ):
            with self.subTest(name):
                harness = GangHarness()
                harness.clock.advance(later_s)
                claim = Claim(holder, epoch, 10.0)
                if result == "ok":
                    self.assertEqual(harness.servers["s0"].claim(claim).epoch, epoch)
                    continue
                with self.assertRaises(BackendRefusedError) as caught:
                    harness.servers["s0"].claim(claim)
                self.assertEqual(caught.exception.reason, result)

    def test_requests_of_others_have_no_effect(self):
        """Reservations by deposed and foreign holders, and after expiry, are refused."""
        for name, holder, epoch, later_s, reason in (
            ("deposed", "h", Epoch(0), 0.0, "old_epoch"),
            ("foreign", "x", EPOCH, 0.0, "foreign"),
            ("lapsed", "h", EPOCH, 101.0, "lapsed"),
        ):
            with self.subTest(name), self.assertRaises(BackendRefusedError) as caught:
                harness = GangHarness()
                harness.clock.advance(later_s)
                harness.servers["s0"].reserve(Reserve(holder, epoch, "l", "w/k", 1, 1, 5.0))
            self.assertEqual(caught.exception.reason, reason)

    def test_new_epoch_drops_reservations(self):
        """A take-over drops the former holder's reservations, so that no late start uses them."""
        harness = GangHarness()
        server = harness.servers["s0"]
        server.reserve(Reserve("h", EPOCH, "l", "w/k", 1, 1, 50.0))
        state = server.claim(Claim("x", Epoch(2), 10.0))
        self.assertEqual(state.reserved, ())

    def test_checkpoint_keeps_progress(self):
        """A stop with a checkpoint reports the progress made so far."""
        harness = GangHarness()
        harness.start({"s0": harness.servers["s0"]}, body={"duration_s": 60})
        harness.clock.advance(7.0)
        harness.servers["s0"].stop(Stop("h", EPOCH, "w/k#1@1.0", checkpoint=True))
        harness.clock.advance(1.0)
        report = harness.servers["s0"].poll(Poll("h", EPOCH, 10.0, 0, 0.0, 10.0)).tasks[0]
        self.assertTrue(report.checkpointed)
        self.assertGreaterEqual(report.progress_s, 7.0)


class NonBlockingServer(BackendServer):
    """Emulated server that does not hold polls open, as a stepped clock never advances alone."""

    def poll(self, req):
        """Respond without waiting."""
        return super().poll(replace(req, wait_s=0.0))


class RecordingListener(WatchListener):
    """Listener that records the names of its callbacks."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.calls: list[str] = []

    def claimed(self, server, state) -> None:
        """Record a claim."""
        self.calls.append("claimed")

    def lost(self, server, reason) -> None:
        """Record a loss."""
        self.calls.append("lost")

    def deposed(self, server, reason) -> None:
        """Record a deposition."""
        self.calls.append("deposed")


class TestWatch(unittest.TestCase):
    """Tests of the watch of one server, run step by step."""

    def setUp(self):
        """Create the watch of one emulated server."""
        self.clock = SteppedClock(10.0)
        self.server = NonBlockingServer("s0", clock=self.clock)
        self.listener = RecordingListener()
        self.watch = ServerWatch(
            self.server, "h", EPOCH, self.listener, run_ttl_s=10.0, clock=self.clock
        )

    def test_paused_holder_is_not_valid(self):
        """A holder must treat its lease as expired before the server does.

        The lease counts from the time of the request, less a margin, so that
        a paused holder finds itself without a valid lease.
        """
        self.watch.step()
        self.assertTrue(self.watch.valid())
        self.clock.advance(lease_ttl_s(1.0) - 0.4)
        self.assertFalse(self.watch.valid())

    def test_many_servers_are_polled_more_slowly(self):
        """The total rate of idle polls stays about constant, within bounds."""
        waits_s = [poll_wait_s(servers) for servers in (1, 6, 12, 60, 163)]
        self.assertEqual(waits_s, [1.0, 1.0, 2.0, 10.0, 15.0])

    def test_loss_and_return(self):
        """An unresponsive server is reported lost and is claimed again once it responds."""
        self.watch.step()
        self.server.set_faults(Faults(out=True))
        for _ in range(12):
            self.watch.step()
        self.server.set_faults(Faults())
        self.watch.step()
        self.assertEqual(self.listener.calls, ["claimed", "lost", "claimed"])

    def test_deposed(self):
        """A claim by a newer holder ends the watch."""
        self.watch.step()
        self.server.claim(Claim("x", Epoch(2), 10.0))
        self.assertFalse(self.watch.step())
        self.assertEqual(self.listener.calls, ["claimed", "deposed"])
        self.assertFalse(self.watch.valid())

    def test_restarted_server_is_claimed_again_after_another_claim(self):
        """A restarted server must be claimed again although it accepts polls.

        Another claim under the same epoch has already reached the restarted
        server, so only the changed boot identifier reveals the restart.
        """
        self.watch.step()
        self.server.reboot()
        self.server.claim(Claim("h", EPOCH, 100.0))
        for _ in range(3):
            self.watch.step()
        self.assertEqual(self.listener.calls.count("claimed"), 2)
