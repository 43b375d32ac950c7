"""Collect measures and print them as a table and as JSON."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ["Measure", "Report"]


@dataclass(frozen=True)
class Measure:
    """Hold one measure.

    Attributes:
        name: What was measured.
        unit: Its unit.
        naive: The figure of the baseline in the same run, None for none.
        ours: Our figure.
        target: The target as text, empty for none.
        met: Whether the target is met, None for none.
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
        """Ours over the baseline's."""
        return self.ours / self.naive if self.naive else None


class Report:
    """Gather measures in order."""

    def __init__(self) -> None:
        """Start empty."""
        self.measures: list[Measure] = []

    def add(self, name: str, unit: str, ours: float, **more) -> None:
        """Add a measure and print it."""
        measure = Measure(name, unit, more.pop("naive", None), ours, **more)
        self.measures.append(measure)
        print(_row(measure), flush=True)

    def value(self, name: str) -> float:
        """Return our figure of a measure."""
        return next(m.ours for m in self.measures if m.name == name)

    def save(self, path: Path) -> None:
        """Write all measures as JSON, in place of earlier ones of the same names."""
        path.parent.mkdir(parents=True, exist_ok=True)
        earlier = json.loads(path.read_text()) if path.exists() else []
        rows = {row["name"]: row for row in earlier}
        rows |= {m.name: {**asdict(m), "ratio": m.ratio} for m in self.measures}
        path.write_text(json.dumps(list(rows.values()), indent=1) + "\n")


def _row(measure: Measure) -> str:
    """Write one measure as a line of the table."""
    naive = "" if measure.naive is None else f"{measure.naive:.4g}"
    ratio = "" if measure.ratio is None else f"{measure.ratio:.3g}"
    met = {None: "", True: "met", False: "MISSED"}[measure.met]
    return (
        f"{measure.name:<66}{measure.ours:>10.4g} {measure.unit:<8}"
        f"{naive:>10}{ratio:>8}  {measure.target:<22}{met}"
    )


HEAD = f"{'measure':<66}{'ours':>10} {'unit':<8}{'naive':>10}{'ratio':>8}  {'target':<22}"
