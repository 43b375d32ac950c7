"""Test when an instance claims and releases its zone, and its view of other instances."""

import unittest
from dataclasses import dataclass, field

from catkinknot.membership import (
    ClaimResult,
    Heartbeat,
    ListedInstance,
    MembershipView,
    TermView,
    ZoneLeaseManager,
)
from catkinknot.model import SteppedClock


@dataclass
class FakeClaims:
    """Fake of the terms on the log."""

    term: TermView = field(default_factory=lambda: TermView(0, ""))
    answer: ClaimResult = ClaimResult.WON
    unavailable_s: float = 0.0
    claim_count: int = 0

    def current_term(self) -> TermView:
        """Return the current term."""
        return self.term

    def claim(self, term: int, holder: str) -> ClaimResult:
        """Count the claim and return the configured result."""
        self.claim_count += 1
        if self.answer is ClaimResult.WON:
            self.term = TermView(term, holder)
        return self.answer

    def unavailable_for_s(self) -> float:
        """Return the configured duration of the outage."""
        return self.unavailable_s


class ZoneLeaseHarness:
    """Manager of one instance with its view of one peer and a fake log."""

    def __init__(self, name: str = "b") -> None:
        """Start with one other instance listed in the zone."""
        self.clock = SteppedClock(100.0)
        self.view = MembershipView(name, "z", clock=self.clock)
        self.view.apply_list([
            ListedInstance("a", "entry", "z", "127.0.0.1", 1),
            ListedInstance(name, "entry", "z", "127.0.0.1", 2),
        ])  # fmt: skip
        self.claims = FakeClaims()
        self.manager = ZoneLeaseManager(
            f"{name}:boot", self.view, self.claims, zone="z", clock=self.clock
        )
        self.sent = 0

    def receive_heartbeat(self, *, holds: str = "", state: str = "live", boot: str = "x") -> None:
        """Apply a heartbeat of the peer."""
        self.sent += 1
        self.view.apply_heartbeat(Heartbeat("a", boot, "z", state, holds=holds, sent=self.sent))

    def run(self, seconds: float, **heartbeat) -> None:
        """Step the manager every 0.25 s, with heartbeats of the peer if fields are given."""
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            if heartbeat:
                self.receive_heartbeat(**heartbeat)
            self.manager.step()


class TestTakeOver(unittest.TestCase):
    """Tests of take-overs through the log."""

    def test_first_instance_claims_a_vacant_zone(self):
        """A vacant zone is claimed on the log, but not right after the instance's start."""
        harness = ZoneLeaseHarness()
        harness.run(0.5)
        self.assertIsNone(harness.manager.zone_lease())
        harness.run(1.5)
        self.assertEqual(str(harness.manager.zone_lease()), "1.0")

    def test_reachable_holder_is_not_replaced(self):
        """The zone must not be claimed while heartbeats of its holder arrive."""
        harness = ZoneLeaseHarness()
        harness.run(10.0, holds="1.0")
        self.assertEqual(harness.claims.claim_count, 0)

    def test_crashed_holder_is_replaced_within_five_seconds(self):
        """The zone of a holder whose heartbeats stop is claimed within 5 s."""
        harness = ZoneLeaseHarness()
        harness.run(3.0, holds="1.0")
        harness.claims.term = TermView(1, "a:x")
        harness.run(5.0)
        self.assertEqual(str(harness.manager.zone_lease()), "2.0")

    def test_leaving_holder_is_replaced_at_once(self):
        """The zone of a holder that reports that it is leaving is claimed within 1.5 s."""
        harness = ZoneLeaseHarness()
        harness.run(3.0, holds="1.0")
        harness.claims.term = TermView(1, "a:x")
        harness.run(1.5, holds="1.0", state="leaving")
        self.assertEqual(str(harness.manager.zone_lease()), "2.0")

    def test_restarted_holder_does_not_keep_its_zone(self):
        """Heartbeats of a restarted holder must not count for its former lifetime.

        Otherwise nobody would claim the zone and nobody would schedule it.
        """
        harness = ZoneLeaseHarness()
        harness.claims.term = TermView(1, "a:old")
        harness.run(5.0, boot="new")
        self.assertEqual(str(harness.manager.zone_lease()), "2.0")

    def test_lost_claim_waits(self):
        """After a lost claim the instance must wait before it claims again."""
        harness = ZoneLeaseHarness()
        harness.claims.answer = ClaimResult.LOST
        harness.run(3.0)
        self.assertLessEqual(harness.claims.claim_count, 2)
        self.assertIsNone(harness.manager.zone_lease())

    def test_won_claim_without_response_is_adopted(self):
        """A term whose claim was not confirmed is held once the log shows it as won."""
        harness = ZoneLeaseHarness()
        harness.claims.answer = ClaimResult.UNKNOWN
        harness.run(2.0)
        self.assertIsNone(harness.manager.zone_lease())
        harness.claims.term = TermView(1, "b:boot")
        harness.run(0.25)
        self.assertEqual(str(harness.manager.zone_lease()), "1.0")

    def test_leaving_instance_never_claims(self):
        """An instance that is leaving must not claim a vacant zone."""
        harness = ZoneLeaseHarness()
        harness.manager.leave()
        harness.run(10.0)
        self.assertEqual(harness.claims.claim_count, 0)


class TestWithoutLog(unittest.TestCase):
    """Tests of take-overs while the log is unavailable."""

    def test_bump_and_return_to_the_log(self):
        """A zone taken over with a bump is claimed on the log once the log is available."""
        harness = ZoneLeaseHarness()
        harness.claims.term = TermView(4, "a:x")
        harness.claims.unavailable_s = 60.0
        harness.run(5.0)
        self.assertEqual(harness.manager.zone_lease().term, 4)
        self.assertGreater(harness.manager.zone_lease().bump, 0)
        self.assertEqual(harness.claims.claim_count, 0)
        harness.claims.unavailable_s = 0.0
        harness.run(0.5)
        self.assertEqual(str(harness.manager.zone_lease()), "5.0")

    def test_short_outage_is_waited_out(self):
        """A log that has been unavailable for 1 s must not cause a take-over without it."""
        harness = ZoneLeaseHarness()
        harness.claims.unavailable_s = 1.0
        harness.run(10.0)
        self.assertIsNone(harness.manager.zone_lease())


class TestRelease(unittest.TestCase):
    """Tests of the release of a held zone."""

    def holder(self) -> ZoneLeaseHarness:
        """Return a harness whose instance holds the zone."""
        harness = ZoneLeaseHarness()
        harness.run(2.0)
        self.assertIsNotNone(harness.manager.zone_lease())
        return harness

    def test_higher_term_on_the_log(self):
        """A higher term on the log ends the lease."""
        harness = self.holder()
        harness.claims.term = TermView(2, "a:x")
        harness.run(0.25, holds="2.0")
        self.assertIsNone(harness.manager.zone_lease())

    def test_deposed_holder_does_not_hold_the_same_term_again(self):
        """An instance refused by a server must win a new term before it holds the zone."""
        harness = self.holder()
        harness.manager.deposed()
        harness.run(1.0, holds="1.7")
        self.assertIsNone(harness.manager.zone_lease())
        harness.run(8.0)
        self.assertEqual(str(harness.manager.zone_lease()), "2.0")


class TestView(unittest.TestCase):
    """Tests of the membership view."""

    def test_old_and_duplicate_heartbeats_are_dropped(self):
        """A delayed heartbeat must not restore an old state."""
        harness = ZoneLeaseHarness()
        harness.receive_heartbeat(state="leaving")
        harness.view.apply_heartbeat(Heartbeat("a", "x", "z", "live", sent=0))
        self.assertTrue(harness.view.entry("a").leaving)

    def test_leaving_by_list_or_heartbeat(self):
        """An instance is leaving if either the list or its heartbeat says so."""
        harness = ZoneLeaseHarness()
        harness.receive_heartbeat()
        self.assertTrue(harness.view.entry("a").usable)
        leaving = ListedInstance("a", "entry", "z", "127.0.0.1", 1, state="leaving")
        harness.view.apply_list([leaving])
        self.assertFalse(harness.view.entry("a").usable)

    def test_unresponsive_instance_is_not_usable(self):
        """An instance that has missed its heartbeats must not get forwarded work."""
        harness = ZoneLeaseHarness()
        harness.receive_heartbeat()
        harness.clock.advance(2.1)
        self.assertFalse(harness.view.entry("a").usable)
