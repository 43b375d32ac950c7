"""Work out the table of docs/CAPACITY.md from the measured slopes."""

import json
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MEASURES = ROOT / "docs" / "measures" / "measures.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- table -->", "<!-- end of table -->"

SERVERS = 163
INSTANCES = 32
JOBS_A_DAY = 1500
CHANGES_A_DAY = 2700
SECONDS_A_DAY = 86_400
POLLS_CAP_S = 15.0


@dataclass(frozen=True)
class Row:
    """Hold one line of the table.

    Attributes:
        role: The role.
        what: What is estimated.
        value: The figure at the long-run size.
        budget: The budget, empty for none.
        source: How it follows.
    """

    role: str
    what: str
    value: str
    budget: str
    source: str


def main() -> None:
    """Print the table, or write it into the page with ``--write``."""
    found = {row["name"]: row["ours"] for row in json.loads(MEASURES.read_text())}
    lines = [
        "| role | what | at the long-run size | budget | from |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [f"| {r.role} | {r.what} | {r.value} | {r.budget} | {r.source} |" for r in rows(found)]
    table = "\n".join(lines)
    if "--write" not in sys.argv:
        print(table)
        return
    text = PAGE.read_text()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    PAGE.write_text(f"{head}{BEGIN}\n{table}\n{END}{tail}")


def rows(found: dict[str, float]) -> list[Row]:
    """Work out every line.

    Args:
        found: The measured figures by name.

    Returns:
        The lines.
    """
    small, middle, large = (
        "4 instances, 3 servers a zone",
        "8 instances, 6 servers a zone",
        "8 instances, 12 servers a zone",
    )
    core = {size: found[f"idle control, {size}: most of a core"] for size in (small, middle, large)}
    per_poll = core[middle] / 6.0
    polls = SERVERS / POLLS_CAP_S
    poll_bytes = found["one idle poll with its headers"]
    traffic = {s: found[f"idle control, {s}: most peer traffic"] for s in (small, middle)}
    per_peer = (traffic[middle] - traffic[small]) / 4
    far = traffic[middle] + per_peer * (INSTANCES - 8)
    memory = found[f"idle, {large}: most memory"]
    per_server = max(memory - found[f"idle, {middle}: most memory"], 0.0) / 6
    snapshot = found["snapshot of 1500 jobs"]
    appends = (JOBS_A_DAY * 4 + CHANGES_A_DAY + 770 * 2) / SECONDS_A_DAY
    return [
        Row("zone scheduler", "idle polls", f"{polls:.1f}/s", "", "163 servers, 15 s polls"),
        Row("zone scheduler", "processor", f"{per_poll * polls:.1f} % of a core", "4.4 %",
            f"{per_poll:.2f} % for each poll a second"),
        Row("zone scheduler", "one placement, p99",
            f"{found['one placement at 163 servers, p99']:.1f} ms", "5 ms", "measured at 163"),
        Row("zone scheduler", "memory", f"{memory + per_server * (SERVERS - 12):.0f} MB", "128 MB",
            f"{memory:.0f} MB and {per_server:.3f} MB a server"),
        Row("zone scheduler", "poll traffic", f"{polls * poll_bytes / 1000:.1f} KB/s",
            "6 KB/s", f"{poll_bytes:.0f} bytes for a poll with its headers"),
        Row("peer", "heartbeats", f"{far:.1f} KB/s", "6 KB/s",
            f"{per_peer:.2f} KB/s for each further instance, 32 instances"),
        Row("entry", "added to a proof, median",
            f"{found['10 ms proof at 50/s, over its own time, median']:.1f} ms", "15 ms",
            "measured at 50/s"),
        Row("log appender", "appends, all instances", f"{appends:.2f}/s", "several hundred/s",
            "4 for each job, 1 for each change, 2 for each replacement"),
        Row("log reader", "state", f"{snapshot:.0f} KB packed", "", "a day's 1,500 jobs"),
        Row("log reader", "start from a snapshot",
            f"{found['start from a snapshot of 1500 jobs']:.0f} ms", "", "measured"),
        Row("log reader", "snapshots", f"{snapshot * 288 / 1000:.1f} MB a day", "",
            "one every 300 s"),
        Row("operators' reader", "configuration in force",
            f"{found['configuration in force on 8 instances, worst of 5']:.2f} s", "4 s",
            "measured on 8 instances"),
    ]  # fmt: skip


if __name__ == "__main__":
    main()
