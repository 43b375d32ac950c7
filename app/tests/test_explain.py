"""Test the timeline of a job from logs."""

import json
import tempfile
import unittest
from pathlib import Path

from catkinknot.node import explain, read_lines

JOB = "5c0e7a21d94b36f8"


def line(second: int, instance: str, text: str, *, level: str = "info", **inputs) -> str:
    """Return one log line."""
    fields = {"time": f"2026-01-01T00:00:{second:02}+00:00", "level": level}
    return json.dumps(fields | {"instance": instance, "text": text, "part": "x", **inputs})


class TestExplain(unittest.TestCase):
    """Test the timeline of jobs with failures."""

    def setUp(self) -> None:
        """Choose the log files of two instances."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.files = [folder / "a.log", folder / "b.log"]

    def explain(self, first: list[str], second: list[str]):
        """Write the logs, and return the timeline of the job."""
        for path, lines in zip(self.files, (first, second), strict=True):
            path.write_text("\n".join(lines) + "\n")
        return explain(JOB, read_lines(self.files))

    def test_order_across_processes(self) -> None:
        """Lines of all processes are ordered by time; lines of other jobs are left out."""
        timeline = self.explain(
            [
                "no JSON",
                line(2, "a", "A step gets servers.", step=f"{JOB}.0.0"),
                line(9, "a", "A job has ended.", job=JOB, phase="failed"),
                line(3, "a", "A step gets servers.", step="ffffffffffffffff.0.0"),
            ],
            ["7.25 b " + line(1, "b", "A submit was answered.", job=JOB, outcome="accepted")],
        )
        self.assertEqual([line.instance for line in timeline.lines], ["b", "a", "a"])
        self.assertEqual(timeline.missing, [])
        self.assertIn("phase=failed", timeline.text())

    def test_where_the_time_went(self) -> None:
        """The stages of a job are shown in milliseconds since its first line.

        In a slow store a job may get servers before its caller has an answer.
        """
        task = f"{JOB}.0.0.0"
        timeline = self.explain(
            [
                line(2, "a", "A step gets servers.", step=f"{JOB}.0.0"),
                line(5, "a", "A start was sent.", task=task),
                line(6, "a", "A start was sent.", task=task),
                line(8, "a", "A run has ended.", task=task),
                line(9, "a", "A job has ended.", job=JOB, phase="completed"),
            ],
            [line(4, "b", "A submit was answered.", job=JOB, outcome="accepted")],
        )
        expected = {
            "placed": 0,
            "first answered": 2000,
            "start sent": 3000,
            "first run ended": 6000,
            "ended": 7000,
        }
        self.assertEqual(timeline.as_json()["stages_ms"], expected)
        self.assertIn("placed 0 ms, first answered 2000 ms, start sent 3000 ms", timeline.text())

    def test_warnings_of_the_same_period(self) -> None:
        """Warnings between a job's first and last line are included."""
        timeline = self.explain(
            [line(1, "a", "A submit was answered.", job=JOB), line(9, "a", "x", job=JOB)],
            [
                line(5, "b", "The store does not answer.", level="warning"),
                line(11, "b", "Too late to matter.", level="warning"),
            ],
        )
        self.assertEqual([line.text for line in timeline.around], ["The store does not answer."])

    def test_victims(self) -> None:
        """A line that names the job as a victim is included."""
        timeline = self.explain(
            [line(1, "a", "A step gets servers.", step="f" * 16, victims=[f"{JOB}.0.0.1"])], []
        )
        self.assertEqual(len(timeline.lines), 1)

    def test_unknown_job(self) -> None:
        """A job without log lines is reported as missing."""
        timeline = self.explain([], [])
        self.assertIn("no process has logged this job", timeline.missing[0])

    def test_missing_end(self) -> None:
        """Expected lines that the logs lack are reported as missing."""
        timeline = self.explain([line(1, "a", "A submit was answered.", job=JOB)], [])
        self.assertEqual(len(timeline.missing), 2)


if __name__ == "__main__":
    unittest.main()
