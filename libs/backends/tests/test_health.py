"""Check how bad servers are told from bad jobs."""

import unittest

from catkinknot.backends import ConsecutiveRule, DecayedRule, ServerHealth, WindowRule


def feed(rule, ends) -> bool:
    """Feed ends as (second, ok, job) and judge at the last second."""
    for at_s, ok, job in ends:
        rule.record(ok, job, at_s)
    return rule.bad(max(at_s for at_s, _, _ in ends))


FAILS_ALL = [(float(n), False, f"j{n}") for n in range(6)]
ONE_BAD_JOB = [(float(n), False, "j") for n in range(6)]
GOOD = [(float(n), True, f"j{n}") for n in range(10)]


class TestRules(unittest.TestCase):
    """Check each rule on each case."""

    def test_table(self):
        """Each rule says what it should."""
        for rule, ends, bad in (
            (DecayedRule, FAILS_ALL, True),
            (DecayedRule, ONE_BAD_JOB, False),
            (DecayedRule, GOOD, False),
            (DecayedRule, GOOD + [(20.0 + n, False, f"x{n}") for n in range(30)], True),
            (DecayedRule, list(reversed(FAILS_ALL)), True),
            (WindowRule, FAILS_ALL, True),
            (WindowRule, ONE_BAD_JOB, True),
            (WindowRule, GOOD, False),
            (WindowRule, FAILS_ALL[:4], False),
            (ConsecutiveRule, FAILS_ALL[:3], True),
            (ConsecutiveRule, [(0.0, False, "a"), (1.0, True, "b"), (2.0, False, "c")], False),
        ):
            with self.subTest(rule=rule.__name__, ends=ends[:2]):
                self.assertIs(feed(rule(), ends), bad)


class TestServerHealth(unittest.TestCase):
    """Check setting aside and probing."""

    def test_probe_pause_doubles(self):
        """A server that fails its probe too waits twice as long."""
        health = ServerHealth(probe_after_s=10.0)
        self.assertTrue(any(health.record("s", False, f"a{n}", 0.0) for n in range(5)))
        self.assertEqual(health.release_expired(9.0), [])
        self.assertEqual(health.release_expired(10.0), ["s"])
        for number in range(5):
            health.record("s", False, f"b{number}", 10.0)
        self.assertEqual(health.release_expired(29.0), [])
        self.assertEqual(health.release_expired(30.0), ["s"])
