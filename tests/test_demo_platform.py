"""Show instances on the platform's stand-ins."""

import contextlib
import io
import unittest

import demo_platform


class TestDemo(unittest.TestCase):
    """Run the demonstration as a user does."""

    def test_every_job_is_completed(self) -> None:
        """Gangs, steps and small tasks end, and the table has a line for each."""
        with contextlib.redirect_stdout(io.StringIO()) as said:
            self.assertEqual(demo_platform.main(), 0)
        self.assertEqual(said.getvalue().count("completed"), len(demo_platform.SHOWN))
        self.assertRegex(said.getvalue(), r"instance-\d leads")


if __name__ == "__main__":
    unittest.main()
