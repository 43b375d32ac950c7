"""Draw the main measures."""

from pathlib import Path

import matplotlib
from matplotlib import pyplot

from ._report import Report

__all__ = ["draw"]


def draw(report: Report, folder: Path) -> None:
    """Write one picture for each group of measures that has a baseline.

    Args:
        report: The measures.
        folder: Where the pictures go.
    """
    matplotlib.use("Agg")
    folder.mkdir(parents=True, exist_ok=True)
    for title, word in (
        ("urgent-start", "urgent start, p99"),
        ("large-gangs", "mean wait of gangs"),
        ("kept-in-a-flood", "least work another workspace keeps"),
    ):
        _bars(report, word, folder / f"{title}.png")


def _bars(report: Report, word: str, path: Path) -> None:
    """Draw ours beside the baseline."""
    rows = [m for m in report.measures if word in m.name and m.naive is not None]
    figure, axes = pyplot.subplots(figsize=(10, 0.5 * len(rows) + 1.5))
    places = range(len(rows))
    axes.barh([p + 0.2 for p in places], [m.naive for m in rows], 0.38, label="first come")
    axes.barh([p - 0.2 for p in places], [m.ours for m in rows], 0.38, label="catkinknot")
    axes.set_yticks(list(places), [m.name.split(":")[0] for m in rows])
    axes.set_xlabel(f"{word} ({rows[0].unit})" if rows else word)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
