"""Tell a job's story from logs."""

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
    """Explain jobs that ended badly."""

    def setUp(self) -> None:
        """Write the logs of two instances."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.files = [folder / "a.log", folder / "b.log"]

    def explain(self, first: list[str], second: list[str]):
        """Return the story that the logs tell."""
        for path, lines in zip(self.files, (first, second), strict=True):
            path.write_text("\n".join(lines) + "\n")
        return explain(JOB, read_lines(self.files))

    def test_order_over_processes(self) -> None:
        """Lines of all processes stand in the order of their times."""
        story = self.explain(
            [
                "no JSON",
                line(2, "a", "A step gets servers.", step=f"{JOB}.0.0"),
                line(9, "a", "A job has ended.", job=JOB, phase="failed"),
                line(3, "a", "A step gets servers.", step="ffffffffffffffff.0.0"),
            ],
            ["7.25 b " + line(1, "b", "A submit was answered.", job=JOB, outcome="accepted")],
        )
        self.assertEqual([one.instance for one in story.lines], ["b", "a", "a"])
        self.assertEqual(story.missing, [])
        self.assertIn("phase=failed", story.text())

    def test_trouble_around(self) -> None:
        """Warnings between a job's first and last line are shown with it."""
        story = self.explain(
            [line(1, "a", "A submit was answered.", job=JOB), line(9, "a", "x", job=JOB)],
            [
                line(5, "b", "The store does not answer.", level="warning"),
                line(11, "b", "Too late to matter.", level="warning"),
            ],
        )
        self.assertEqual([one.text for one in story.around], ["The store does not answer."])

    def test_victims(self) -> None:
        """A job that was stopped for another is told for whom."""
        story = self.explain(
            [line(1, "a", "A step gets servers.", step="f" * 16, victims=[f"{JOB}.0.0.1"])], []
        )
        self.assertEqual(len(story.lines), 1)

    def test_unknown_job(self) -> None:
        """Nothing is made up for a job that nobody logged."""
        story = self.explain([], [])
        self.assertIn("no process has logged this job", story.missing[0])

    def test_missing_end(self) -> None:
        """What a whole story would have and this one lacks is said."""
        story = self.explain([line(1, "a", "A submit was answered.", job=JOB)], [])
        self.assertEqual(len(story.missing), 2)


if __name__ == "__main__":
    unittest.main()
