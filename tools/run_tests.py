"""Run all tests and end with a line of counts.

Tests named in KNOWN-RED.txt may fail; they are printed and not counted as
failures of this run.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
_FOLDERS = ("libs/*/tests", "platform/tests", "app/tests", "standins/tests", "tests")


def main() -> int:
    """Run the tests.

    Returns:
        The exit status: 0 when every failure is a known one.
    """
    sys.path[:0] = [str(ROOT), str(ROOT / "tools"), str(ROOT / "tests")]
    suite = unittest.TestSuite()
    loader = unittest.TestLoader()
    for pattern in _FOLDERS:
        for folder in sorted(ROOT.glob(pattern)):
            suite.addTests(loader.discover(str(folder), top_level_dir=str(folder)))
            loader = unittest.TestLoader()
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known = _known_red()
    bad = {_name(test) for test, _ in [*result.failures, *result.errors]}
    red = sorted(name for name in bad if name in known)
    for name in red:
        print(f"KNOWN RED: {name}")
    failed = len(bad) - len(red)
    passed = result.testsRun - len(bad) - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 1 if failed or not result.testsRun or loader.errors else 0


def _name(test: unittest.TestCase) -> str:
    """Return the name of a test, also for one of its subtests."""
    return getattr(test, "test_case", test).id()


def _known_red() -> set[str]:
    """Read the names of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


if __name__ == "__main__":
    sys.exit(main())
