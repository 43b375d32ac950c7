"""Test the rules that tell unhealthy servers from failing jobs."""

import unittest

from catkinknot.backends import ConsecutiveRule, DecayedRule, ServerHealth, WindowRule


def evaluate(rule, results) -> bool:
    """Record results given as (second, ok, job) and evaluate the rule at the last second."""
    for at_s, ok, job in results:
        rule.record(ok, job, at_s)
    return rule.is_unhealthy(max(at_s for at_s, _, _ in results))


FAILS_ALL = [(float(n), False, f"j{n}") for n in range(6)]
ONE_BAD_JOB = [(float(n), False, "j") for n in range(6)]
GOOD = [(float(n), True, f"j{n}") for n in range(10)]


class TestRules(unittest.TestCase):
    """Tests of each rule on typical sequences of results."""

    def test_classification_table(self):
        """Each rule must find a bad server from the failures of several jobs.

        Only the decayed rule does not blame the server for one job that always
        fails; the window rule does.
        """
        for rule, results, unhealthy in (
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
            with self.subTest(rule=rule.__name__, results=results[:2]):
                self.assertIs(evaluate(rule(), results), unhealthy)


class TestServerHealth(unittest.TestCase):
    """Tests of quarantine and retry."""

    def test_quarantine_doubles_after_failed_retry(self):
        """A server that fails again after its quarantine is quarantined for twice as long."""
        health = ServerHealth(probe_after_s=10.0)
        self.assertTrue(any(health.record("s", False, f"a{n}", 0.0) for n in range(5)))
        self.assertEqual(health.release_expired(9.0), [])
        self.assertEqual(health.release_expired(10.0), ["s"])
        for number in range(5):
            health.record("s", False, f"b{number}", 10.0)
        self.assertEqual(health.release_expired(29.0), [])
        self.assertEqual(health.release_expired(30.0), ["s"])
