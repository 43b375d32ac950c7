"""Draw charts of the main measures."""

from pathlib import Path

import matplotlib
from matplotlib import pyplot

from ._report import Report

__all__ = ["draw"]


def draw(report: Report, folder: Path) -> None:
    """Write one chart for each group of measures that has a baseline.

    Args:
        report: The measures.
        folder: The folder to write the charts to.
    """
    matplotlib.use("Agg")
    folder.mkdir(parents=True, exist_ok=True)
    for title, name_part in (
        ("urgent-start", "urgent start, p99"),
        ("large-gangs", "mean wait of gangs"),
        ("kept-in-a-flood", "least work another workspace keeps"),
    ):
        _draw_bars(report, name_part, folder / f"{title}.png")


def _draw_bars(report: Report, name_part: str, path: Path) -> None:
    """Write a bar chart of the measures whose names have a part in common."""
    rows = [m for m in report.measures if name_part in m.name and m.naive is not None]
    figure, axes = pyplot.subplots(figsize=(10, 0.5 * len(rows) + 1.5))
    positions = range(len(rows))
    axes.barh([p + 0.2 for p in positions], [m.naive for m in rows], 0.38, label="first come")
    axes.barh([p - 0.2 for p in positions], [m.ours for m in rows], 0.38, label="catkinknot")
    axes.set_yticks(list(positions), [m.name.split(":")[0] for m in rows])
    axes.set_xlabel(f"{name_part} ({rows[0].unit})" if rows else name_part)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
