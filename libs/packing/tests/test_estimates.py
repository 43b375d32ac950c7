"""Learn run times."""

import random
import unittest

from catkinknot.packing import Estimates


class TestEstimates(unittest.TestCase):
    """Use what was declared only where it is any good."""

    def test_good_declarations_are_used(self) -> None:
        """Declared times that are nearly right stay."""
        learned = Estimates()
        for actual in (1000, 2000, 3000, 1500, 2500, 900):
            learned.note("q", actual * 1.1, actual)
        self.assertEqual(learned.of("q", 5000), 5000)

    def test_urgent_work_that_declares_badly(self) -> None:
        """Declared times off by up to 90 percent: the mean is nearer the truth."""
        rng = random.Random(3)
        learned = Estimates()
        errors = {"declared": 0.0, "learned": 0.0}
        for i in range(300):
            actual = rng.lognormvariate(7.7, 0.45)
            declared = actual * rng.uniform(0.1, 1.9)
            if i >= 20:
                errors["declared"] += abs(declared - actual)
                errors["learned"] += abs(learned.of("q", declared) - actual)
            learned.note("q", declared, actual)
        self.assertLess(errors["learned"], errors["declared"])

    def test_nothing_learned_yet(self) -> None:
        """A few runs are not enough to mistrust what was declared."""
        learned = Estimates()
        learned.note("q", 100, 1000)
        self.assertEqual(learned.of("q", 100), 100)


if __name__ == "__main__":
    unittest.main()
