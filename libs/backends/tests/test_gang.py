"""Check that a gang starts on all of its servers or on none."""

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


class Scripted:
    """Pass requests on, but fail one of them before or after its effect."""

    def __init__(self, target: BackendServer, verb: str, when: str) -> None:
        """Keep the script."""
        self.server = target.server
        self._target = target
        self._verb = verb
        self._when = when

    def __getattr__(self, verb: str):
        """Return a method that may fail."""

        def send(req):
            """Send one request."""
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


class Rig:
    """Hold three servers under one holder."""

    def __init__(self) -> None:
        """Claim all servers."""
        self.clock = SteppedClock(10.0)
        self.servers = {name: BackendServer(name, clock=self.clock) for name in SERVERS}
        for server in self.servers.values():
            server.claim(Claim("h", EPOCH, 100.0))

    def start(self, clients, *, idempotent: bool = True, alive=lambda: True, body=None):
        """Start a gang on all servers."""
        placement = Placement(tuple(Slice(name, 0b11) for name in clients))
        gang = GangStart(JobId("w", "k"), 1, "kind", body or {}, placement, idempotent)
        return GangStarter("h", lambda name: clients[name]).start(gang, EPOCH, alive)

    def busy(self) -> int:
        """Count the servers with anything running."""
        return sum(bool(server.active_masks()) for server in self.servers.values())


class TestAllOrNothing(unittest.TestCase):
    """Check each step with each fault."""

    def test_fault_table(self):
        """Whatever fails, no accelerator stays taken and no part runs on."""
        for verb in ("reserve", "start", "extend"):
            for when in ("before", "after", "gone"):
                for place in range(3):
                    with self.subTest(verb=verb, when=when, place=place):
                        self._check(verb, when, SERVERS[place])

    def _check(self, verb: str, when: str, name: str) -> None:
        """Fail one request and look at the servers after the leases have lapsed."""
        rig = Rig()
        clients = dict(rig.servers)
        clients[name] = Scripted(rig.servers[name], verb, when)
        report = rig.start(clients)
        self.assertFalse(report.started)
        self.assertEqual(report.may_run, verb == "extend")
        rig.clock.advance(5.0)
        for server in rig.servers.values():
            server.set_faults(Faults())
        late = [n for n, s in rig.servers.items() if s.active_masks()]
        self.assertIn(late, ([], [name] if verb == "extend" and when != "before" else []))
        rig.clock.advance(200.0)
        self.assertEqual(rig.busy(), 0)

    def test_no_work_before_all_have_started(self):
        """When one member cannot start, the others have done nothing."""
        rig = Rig()
        clients = dict(rig.servers)
        clients["s2"] = Scripted(rig.servers["s2"], "start", "before")
        rig.start(clients)
        self.assertEqual([server.starts for server in rig.servers.values()], [[], [], []])

    def test_holder_that_lost_its_leases_starts_nothing(self):
        """A holder that finds its time over after reserving gives all back."""
        rig = Rig()
        report = rig.start(rig.servers, alive=lambda: False)
        self.assertFalse(report.started or report.may_run)
        self.assertTrue(rig.start(rig.servers).started)

    def test_unknown_start_of_work_that_must_not_run_twice_is_left_alone(self):
        """A lost answer neither stops such work nor calls it not started."""
        rig = Rig()
        clients = {"s0": Scripted(rig.servers["s0"], "start", "after")}
        report = rig.start(clients, idempotent=False, body={"duration_s": 60})
        self.assertTrue(report.may_run)
        self.assertEqual(rig.busy(), 1)

    def test_rivals_do_not_deadlock(self):
        """Of two gangs that want the same servers one starts and one gives all back."""
        rig = Rig()
        self.assertTrue(rig.start(rig.servers, body={"duration_s": 60}).started)
        placement = Placement(tuple(Slice(name, 0b110) for name in reversed(SERVERS)))
        rival = GangStart(JobId("w", "rival"), 1, "kind", {}, placement, True)
        report = GangStarter("h", lambda name: rig.servers[name]).start(rival, EPOCH, lambda: True)
        self.assertFalse(report.started or report.may_run)


class TestServerLease(unittest.TestCase):
    """Check what the stand-in promises of its lease."""

    def test_claims(self):
        """A claim is granted or refused by epoch, holder and lapse."""
        for name, holder, epoch, later_s, result in (
            ("renewal", "h", EPOCH, 0.0, "ok"),
            ("higher term at once", "x", Epoch(2), 0.0, "ok"),
            ("higher bump while it lasts", "x", Epoch(1, 5), 0.0, "held"),
            ("higher bump after the lapse", "x", Epoch(1, 5), 101.0, "ok"),
            ("same epoch, other holder", "x", EPOCH, 101.0, "foreign"),
            ("older term", "x", Epoch(0, 9), 101.0, "old_epoch"),
        ):
            with self.subTest(name):
                rig = Rig()
                rig.clock.advance(later_s)
                claim = Claim(holder, epoch, 10.0)
                if result == "ok":
                    self.assertEqual(rig.servers["s0"].claim(claim).epoch, epoch)
                    continue
                with self.assertRaises(BackendRefusedError) as caught:
                    rig.servers["s0"].claim(claim)
                self.assertEqual(caught.exception.reason, result)

    def test_requests_of_others_have_no_effect(self):
        """Reservations of deposed, foreign and lapsed holders are refused."""
        for name, holder, epoch, later_s, reason in (
            ("deposed", "h", Epoch(0), 0.0, "old_epoch"),
            ("foreign", "x", EPOCH, 0.0, "foreign"),
            ("lapsed", "h", EPOCH, 101.0, "lapsed"),
        ):
            with self.subTest(name), self.assertRaises(BackendRefusedError) as caught:
                rig = Rig()
                rig.clock.advance(later_s)
                rig.servers["s0"].reserve(Reserve(holder, epoch, "l", "w/k", 1, 1, 5.0))
            self.assertEqual(caught.exception.reason, reason)

    def test_new_epoch_drops_reservations(self):
        """A start that comes after a take-over is refused."""
        rig = Rig()
        server = rig.servers["s0"]
        server.reserve(Reserve("h", EPOCH, "l", "w/k", 1, 1, 50.0))
        state = server.claim(Claim("x", Epoch(2), 10.0))
        self.assertEqual(state.reserved, ())

    def test_checkpoint_keeps_progress(self):
        """A stop with a checkpoint reports how far the work was."""
        rig = Rig()
        rig.start({"s0": rig.servers["s0"]}, body={"duration_s": 60})
        rig.clock.advance(7.0)
        rig.servers["s0"].stop(Stop("h", EPOCH, "w/k#1@1.0", checkpoint=True))
        rig.clock.advance(1.0)
        report = rig.servers["s0"].poll(Poll("h", EPOCH, 10.0, 0, 0.0, 10.0)).tasks[0]
        self.assertTrue(report.checkpointed)
        self.assertGreaterEqual(report.progress_s, 7.0)


class PromptServer(BackendServer):
    """Answer polls at once, as stepped time never passes by itself."""

    def poll(self, req):
        """Answer without waiting."""
        return super().poll(replace(req, wait_s=0.0))


class Heard(WatchListener):
    """Remember what a watch reports."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.words: list[str] = []

    def claimed(self, server, state) -> None:
        """Remember a claim."""
        self.words.append("claimed")

    def lost(self, server, reason) -> None:
        """Remember a loss."""
        self.words.append("lost")

    def deposed(self, server, reason) -> None:
        """Remember a deposition."""
        self.words.append("deposed")


class TestWatch(unittest.TestCase):
    """Check one server's watch, stepped by hand."""

    def setUp(self):
        """Watch one server."""
        self.clock = SteppedClock(10.0)
        self.server = PromptServer("s0", clock=self.clock)
        self.heard = Heard()
        self.watch = ServerWatch(
            self.server, "h", EPOCH, self.heard, run_ttl_s=10.0, clock=self.clock
        )

    def test_paused_holder_is_not_valid(self):
        """A lease counts from when it was asked for, and ends before the server's."""
        self.watch.step()
        self.assertTrue(self.watch.valid())
        self.clock.advance(lease_ttl_s(1.0) - 0.4)
        self.assertFalse(self.watch.valid())

    def test_many_servers_are_polled_more_slowly(self):
        """The sum of idle polls stays about the same, within bounds."""
        paces = [poll_wait_s(servers) for servers in (1, 6, 12, 60, 163)]
        self.assertEqual(paces, [1.0, 1.0, 2.0, 10.0, 15.0])

    def test_loss_and_return(self):
        """A silent server is lost after seconds and claimed again when back."""
        self.watch.step()
        self.server.set_faults(Faults(out=True))
        for _ in range(12):
            self.watch.step()
        self.server.set_faults(Faults())
        self.watch.step()
        self.assertEqual(self.heard.words, ["claimed", "lost", "claimed"])

    def test_deposed(self):
        """A newer holder ends the watch."""
        self.watch.step()
        self.server.claim(Claim("x", Epoch(2), 10.0))
        self.assertFalse(self.watch.step())
        self.assertEqual(self.heard.words, ["claimed", "deposed"])
        self.assertFalse(self.watch.valid())

    def test_replaced_server_is_noticed_behind_another_claim(self):
        """A new run of the server is claimed again although polls would pass."""
        self.watch.step()
        self.server.reboot()
        self.server.claim(Claim("h", EPOCH, 100.0))
        for _ in range(3):
            self.watch.step()
        self.assertEqual(self.heard.words.count("claimed"), 2)
