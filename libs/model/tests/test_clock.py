"""Test the clocks."""

import time
import unittest
from unittest import mock

from catkinknot.model import SystemClock

SUSPENDED_S = 100.0


class TestSystemClock(unittest.TestCase):
    """Test the clock of this machine."""

    def test_time_of_a_suspension_counts(self) -> None:
        """Leases and leaderships age while the machine is suspended.

        Guards against a leader that wakes after its successor has begun, and
        takes its own leadership for fresh (review 6).
        """
        clock = SystemClock()
        before = {time.CLOCK_MONOTONIC: 50.0, time.CLOCK_BOOTTIME: 50.0}
        after = before | {time.CLOCK_BOOTTIME: 50.0 + SUSPENDED_S}
        with mock.patch.object(time, "clock_gettime", before.__getitem__):
            before_s = clock.now()
        with mock.patch.object(time, "clock_gettime", after.__getitem__):
            self.assertEqual(clock.now() - before_s, SUSPENDED_S)


if __name__ == "__main__":
    unittest.main()
