"""Write the latest measures to docs/measures, as data and as a table."""

import json
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "build" / "measures.json"
FOLDER = ROOT / "docs" / "measures"


def main() -> None:
    """Write the data file and the page."""
    rows = json.loads(SOURCE.read_text())
    (FOLDER / "measures.json").write_text(json.dumps(rows, indent=1) + "\n")
    missed = [row["name"] for row in rows if row["met"] is False]
    lines = [
        "# Measures",
        "",
        "Figures of `make measure`, or of its sections, on one machine with 8 cores; the",
        "baseline (first come, first served and first fit, or the direct call) ran",
        "beside it. Starts take 0.03 s and a checkpoint 2 s in the zone runs. Pictures:",
        "[urgent starts](urgent-start.png), [large gangs](large-gangs.png),",
        "[what others keep](kept-in-a-flood.png).",
        "",
        f"{len(missed)} of {len(rows)} rows miss their target; see `docs/issues/`.",
        "",
        "| measure | unit | baseline | ours | ratio | target | met | seed |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [_table_row(row) for row in rows]
    (FOLDER / "README.md").write_text("\n".join(lines) + "\n")


def _table_row(row: dict) -> str:
    """Return one row of the table."""
    met = {None: "", True: "yes", False: "**no**"}[row["met"]]
    naive = "" if row["naive"] is None else f"{row['naive']:.4g}"
    ratio = "" if row["ratio"] is None else f"{row['ratio']:.3g}"
    return (
        f"| {row['name']} | {row['unit']} | {naive} | {row['ours']:.4g} | {ratio} "
        f"| {row['target']} | {met} | {row['seed'] or ''} |"
    )


if __name__ == "__main__":
    main()
