"""Test what the leader knows of servers: their clocks and leases."""

import unittest

from catkinknot.coordination._views import ClockReading, RunView, ServerView
from catkinknot.jobs import Resources, StepKey
from catkinknot.packing import ServerCapacity

SLOWEST_RATE = 0.98
"""A server's clock may be 2% slow."""

READ_S = 500.0
CLOCK_MS = 100_000


def server_view() -> ServerView:
    """Return a server whose clock was read at `READ_S`."""
    capacity = ServerCapacity("s0@1", "", "", frozenset(), "", Resources())
    view = ServerView("s0@1", None, capacity)
    view.note_clock(CLOCK_MS, READ_S)
    return view


def ends_s(until_ms: int, rate: float) -> float:
    """Return when a lease ends on the leader's clock."""
    return READ_S + (until_ms - CLOCK_MS) / 1000 / rate


class TestGrantLease(unittest.TestCase):
    """Leases on the clock of a server."""

    def test_lease_ends_when_the_leader_says(self) -> None:
        """However old the reading is, no lease outlasts what the leader counts on.

        Guards against a lease that is counted from an old reading of a slow
        clock, whose runs go on while their tasks are started again (review 1).
        """
        for rate in (SLOWEST_RATE, 0.99, 1.0):
            for age_s in (0.0, 95.0, 600.0, 5000.0):
                for length_s in (0.5, 7.0, 12.0):
                    with self.subTest(rate=rate, age_s=age_s, length_s=length_s):
                        view = server_view()
                        now_s = READ_S + age_s
                        until_ms = view.grant_lease(now_s + length_s, now_s)
                        self.assertLessEqual(ends_s(until_ms, rate), view.lease_end_s)

    def test_slow_clock_gets_the_whole_lease(self) -> None:
        """A reading that is old costs the slowest clock nothing of its lease."""
        view = server_view()
        now_s = READ_S + 600.0
        until_ms = view.grant_lease(now_s + 7.0, now_s)
        self.assertGreater(ends_s(until_ms, SLOWEST_RATE), now_s + 6.5)

    def test_no_lease_without_a_reading(self) -> None:
        """Nothing is granted on a clock that was never read, and nothing is counted on."""
        view = server_view()
        view.clock = None
        self.assertEqual(view.grant_lease(READ_S + 7.0, READ_S), 0)
        self.assertEqual(view.lease_end_s, 0.0)


class TestAckCursor(unittest.TestCase):
    """Acknowledgement of ends."""

    def test_no_end_of_the_next_lifetime_is_acknowledged(self) -> None:
        """Ends are acknowledged only while every run is known to be in this lifetime."""
        view = server_view()
        view.seen_end = 57
        self.assertEqual(view.ack_cursor, 57)
        run = RunView("a.0.0.0", StepKey("a", 0, 0), 0, 1, READ_S)
        view.runs[run.task] = run
        self.assertEqual(view.ack_cursor, 57)
        run.sent = True
        self.assertEqual(view.ack_cursor, 0)
        run.confirmed = True
        self.assertEqual(view.ack_cursor, 57)
        view.replaced = True
        self.assertEqual(view.ack_cursor, 0)


class TestReadings(unittest.TestCase):
    """Readings of a server's clock."""

    def test_later_listing_is_used(self) -> None:
        """A listing that a server wrote since its last answer brings its clock up to date."""
        view = server_view()
        view.note_listed_clock(CLOCK_MS + 95_000, READ_S + 95.5)
        self.assertEqual(view.clock, ClockReading(CLOCK_MS + 95_000, READ_S + 95.5))

    def test_older_listing_is_not_used(self) -> None:
        """A listing from before the last answer, or without a clock, changes nothing."""
        for clock_ms in (CLOCK_MS - 1500, 0):
            with self.subTest(clock_ms=clock_ms):
                view = server_view()
                view.note_listed_clock(clock_ms, READ_S + 0.4)
                self.assertEqual(view.clock, ClockReading(CLOCK_MS, READ_S))


if __name__ == "__main__":
    unittest.main()
