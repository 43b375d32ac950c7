"""Check when an instance takes its zone and gives it up."""

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
    """Stand in for the log."""

    term: TermView = field(default_factory=lambda: TermView(0, ""))
    answer: ClaimResult = ClaimResult.WON
    out_s: float = 0.0
    claimed: int = 0

    def current_term(self) -> TermView:
        """Return the term in force."""
        return self.term

    def claim(self, term: int, holder: str) -> ClaimResult:
        """Count a claim, and win it if so set."""
        self.claimed += 1
        if self.answer is ClaimResult.WON:
            self.term = TermView(term, holder)
        return self.answer

    def unavailable_for_s(self) -> float:
        """Return for how long the log is out."""
        return self.out_s


class Rig:
    """Hold one instance and what it sees."""

    def __init__(self, name: str = "b") -> None:
        """Start with one peer listed in the zone."""
        self.clock = SteppedClock(100.0)
        self.view = MembershipView(name, "z", clock=self.clock)
        self.view.apply_list([
            ListedInstance("a", "entry", "z", "127.0.0.1", 1),
            ListedInstance(name, "entry", "z", "127.0.0.1", 2),
        ])  # fmt: skip
        self.claims = FakeClaims()
        self.keeper = ZoneLeaseManager(
            f"{name}:boot", self.view, self.claims, zone="z", clock=self.clock
        )
        self.sent = 0

    def hear(self, *, holds: str = "", state: str = "live", boot: str = "x") -> None:
        """Take a heartbeat of the peer."""
        self.sent += 1
        self.view.apply_heartbeat(Heartbeat("a", boot, "z", state, holds=holds, sent=self.sent))

    def run(self, seconds: float, **heard) -> None:
        """Let time pass, with heartbeats of the peer if any are described."""
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            if heard:
                self.hear(**heard)
            self.keeper.step()


class TestTakeOver(unittest.TestCase):
    """Check who takes the zone and when."""

    def test_first_instance_takes_a_vacant_zone(self):
        """After listening for a while the zone is claimed on the log."""
        rig = Rig()
        rig.run(0.5)
        self.assertIsNone(rig.keeper.zone_lease())
        rig.run(1.5)
        self.assertEqual(str(rig.keeper.zone_lease()), "1.0")

    def test_a_living_holder_is_left_alone(self):
        """No claim while the holder is heard."""
        rig = Rig()
        rig.run(10.0, holds="1.0")
        self.assertEqual(rig.claims.claimed, 0)

    def test_dead_holder_is_followed_within_five_seconds(self):
        """A holder that is no longer heard loses the zone."""
        rig = Rig()
        rig.run(3.0, holds="1.0")
        rig.claims.term = TermView(1, "a:x")
        rig.run(5.0)
        self.assertEqual(str(rig.keeper.zone_lease()), "2.0")

    def test_leaving_holder_is_followed_at_once(self):
        """A holder that says it leaves loses the zone within a second or two."""
        rig = Rig()
        rig.run(3.0, holds="1.0")
        rig.claims.term = TermView(1, "a:x")
        rig.run(1.5, holds="1.0", state="leaving")
        self.assertEqual(str(rig.keeper.zone_lease()), "2.0")

    def test_new_run_of_the_holder_does_not_count_as_it(self):
        """A restarted holder has to claim like everybody else."""
        rig = Rig()
        rig.claims.term = TermView(1, "a:old")
        rig.run(5.0, boot="new")
        self.assertEqual(str(rig.keeper.zone_lease()), "2.0")

    def test_lost_claim_waits(self):
        """After a lost claim the next one comes later, not at once."""
        rig = Rig()
        rig.claims.answer = ClaimResult.LOST
        rig.run(3.0)
        self.assertLessEqual(rig.claims.claimed, 2)
        self.assertIsNone(rig.keeper.zone_lease())

    def test_claim_whose_answer_was_lost_is_found(self):
        """A won term that was not confirmed is held once the log shows it."""
        rig = Rig()
        rig.claims.answer = ClaimResult.UNKNOWN
        rig.run(2.0)
        self.assertIsNone(rig.keeper.zone_lease())
        rig.claims.term = TermView(1, "b:boot")
        rig.run(0.25)
        self.assertEqual(str(rig.keeper.zone_lease()), "1.0")

    def test_leaving_instance_never_claims(self):
        """An instance that leaves takes no zone."""
        rig = Rig()
        rig.keeper.leave()
        rig.run(10.0)
        self.assertEqual(rig.claims.claimed, 0)


class TestWithoutLog(unittest.TestCase):
    """Check take-overs while the log is out."""

    def test_bump_and_return_to_the_log(self):
        """The zone is taken with a bump and claimed properly when the log is back."""
        rig = Rig()
        rig.claims.term = TermView(4, "a:x")
        rig.claims.out_s = 60.0
        rig.run(5.0)
        self.assertEqual(rig.keeper.zone_lease().term, 4)
        self.assertGreater(rig.keeper.zone_lease().bump, 0)
        self.assertEqual(rig.claims.claimed, 0)
        rig.claims.out_s = 0.0
        rig.run(0.5)
        self.assertEqual(str(rig.keeper.zone_lease()), "5.0")

    def test_short_outage_is_waited_out(self):
        """A log that is out for a moment is not a reason to go without it."""
        rig = Rig()
        rig.claims.out_s = 1.0
        rig.run(10.0)
        self.assertIsNone(rig.keeper.zone_lease())


class TestGivingUp(unittest.TestCase):
    """Check that the zone is given up in time."""

    def zone_lease(self) -> Rig:
        """Build an instance that holds the zone."""
        rig = Rig()
        rig.run(2.0)
        self.assertIsNotNone(rig.keeper.zone_lease())
        return rig

    def test_higher_term_on_the_log(self):
        """A newer term ends the holding."""
        rig = self.zone_lease()
        rig.claims.term = TermView(2, "a:x")
        rig.run(0.25, holds="2.0")
        self.assertIsNone(rig.keeper.zone_lease())

    def test_deposed_holder_does_not_take_the_same_term_again(self):
        """After a server refused it, an instance needs a new term."""
        rig = self.zone_lease()
        rig.keeper.deposed()
        rig.run(1.0, holds="1.7")
        self.assertIsNone(rig.keeper.zone_lease())
        rig.run(8.0)
        self.assertEqual(str(rig.keeper.zone_lease()), "2.0")


class TestView(unittest.TestCase):
    """Check the joined view of members."""

    def test_old_and_repeated_heartbeats_are_dropped(self):
        """A late heartbeat does not bring an old state back."""
        rig = Rig()
        rig.hear(state="leaving")
        rig.view.apply_heartbeat(Heartbeat("a", "x", "z", "live", sent=0))
        self.assertTrue(rig.view.entry("a").leaving)

    def test_either_word_makes_a_leaver(self):
        """The list's word counts as well as the instance's own."""
        rig = Rig()
        rig.hear()
        self.assertTrue(rig.view.entry("a").usable)
        leaving = ListedInstance("a", "entry", "z", "127.0.0.1", 1, state="leaving")
        rig.view.apply_list([leaving])
        self.assertFalse(rig.view.entry("a").usable)

    def test_silent_instance_is_not_usable(self):
        """After missed heartbeats nothing is forwarded to an instance."""
        rig = Rig()
        rig.hear()
        rig.clock.advance(2.1)
        self.assertFalse(rig.view.entry("a").usable)
