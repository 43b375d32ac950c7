"""Run all measures, or the sections that are named: `make measure`."""

import sys
import time
from pathlib import Path

from ._blame import measure_blame
from ._decisions import measure_decisions
from ._fleet import measure_fleet
from ._plots import draw
from ._poll import measure_poll
from ._report import HEAD, Report
from ._speed import measure_speed
from ._system import measure_system
from ._timeline import measure_timeline

ROOT = Path(__file__).resolve().parent.parent
SECTIONS = {
    "system": measure_system,
    "speed": measure_speed,
    "decisions": measure_decisions,
    "blame": measure_blame,
    "timeline": measure_timeline,
    "poll": measure_poll,
    "fleet": measure_fleet,
}


def main() -> None:
    """Run the sections named on the command line, all by default."""
    section_names = sys.argv[1:] or list(SECTIONS)
    report = Report()
    began_s = time.monotonic()
    print(HEAD)
    for name in section_names:
        SECTIONS[name](report)
    report.save(ROOT / "build" / "measures.json")
    if section_names == list(SECTIONS):
        draw(report, ROOT / "docs" / "measures")
    missed = [measure.name for measure in report.measures if measure.met is False]
    took_s = time.monotonic() - began_s
    print(f"{len(report.measures)} measures, {len(missed)} targets missed, {took_s:.0f} s")


if __name__ == "__main__":
    main()
