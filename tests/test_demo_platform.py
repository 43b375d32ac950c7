"""Test the demonstration of instances on the emulated platform."""

import contextlib
import io
import unittest

import demo_platform


class TestDemo(unittest.TestCase):
    """The demonstration, run as a user runs it."""

    def test_every_job_is_completed(self) -> None:
        """Gangs, dependent steps and small tasks complete; the table has a line for each job."""
        with contextlib.redirect_stdout(io.StringIO()) as output:
            self.assertEqual(demo_platform.main(), 0)
        self.assertEqual(output.getvalue().count("completed"), len(demo_platform.DEMO_JOBS))
        self.assertRegex(output.getvalue(), r"instance-\d leads")


if __name__ == "__main__":
    unittest.main()
