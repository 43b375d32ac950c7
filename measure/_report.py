"""Collect measures, print them as a table and save them as JSON."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ["Measure", "Report"]


@dataclass(frozen=True)
class Measure:
    """One measure.

    Attributes:
        name: The name of the measured quantity.
        unit: The unit of the figures.
        naive: The figure of the baseline in the same run, None for none.
        ours: The figure of catkinknot.
        target: The target as text, empty for none.
        met: Whether the target is met, None for no target.
        seed: The seed of the arrivals, 0 for none.
    """

    name: str
    unit: str
    naive: float | None
    ours: float
    target: str = ""
    met: bool | None = None
    seed: int = 0

    @property
    def ratio(self) -> float | None:
        """The figure of catkinknot divided by that of the baseline."""
        return self.ours / self.naive if self.naive else None


class Report:
    """Measures in the order in which they were taken."""

    def __init__(self) -> None:
        """Create an empty report."""
        self.measures: list[Measure] = []

    def add(self, name: str, unit: str, ours: float, **more) -> None:
        """Add a measure and print it."""
        measure = Measure(name, unit, more.pop("naive", None), ours, **more)
        self.measures.append(measure)
        print(_row(measure), flush=True)

    def value(self, name: str) -> float:
        """Return the figure of catkinknot in a measure."""
        return next(m.ours for m in self.measures if m.name == name)

    def save(self, path: Path) -> None:
        """Write all measures as JSON; they replace earlier ones of the same names."""
        path.parent.mkdir(parents=True, exist_ok=True)
        earlier = json.loads(path.read_text()) if path.exists() else []
        rows = {row["name"]: row for row in earlier}
        rows |= {m.name: {**asdict(m), "ratio": m.ratio} for m in self.measures}
        path.write_text(json.dumps(list(rows.values()), indent=1) + "\n")


def _row(measure: Measure) -> str:
    """Return one measure as a line of the table."""
    naive = "" if measure.naive is None else f"{measure.naive:.4g}"
    ratio = "" if measure.ratio is None else f"{measure.ratio:.3g}"
    met = {None: "", True: "met", False: "MISSED"}[measure.met]
    return (
        f"{measure.name:<66}{measure.ours:>10.4g} {measure.unit:<8}"
        f"{naive:>10}{ratio:>8}  {measure.target:<22}{met}"
    )


HEAD = f"{'measure':<66}{'ours':>10} {'unit':<8}{'naive':>10}{'ratio':>8}  {'target':<22}"
