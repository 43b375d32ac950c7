"""Compute the table of docs/CAPACITY.md from the measures."""

import json
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MEASURES = ROOT / "docs" / "measures" / "measures.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- table -->", "<!-- end of table -->"

SERVER_COUNT = 163
INSTANCE_COUNT = 32
JOBS_PER_DAY = 1500
CHANGES_PER_DAY = 2700
SECONDS_PER_DAY = 86_400
MAX_POLL_INTERVAL_S = 15.0


@dataclass(frozen=True)
class Row:
    """Row of the table.

    Attributes:
        role: The role of the process.
        quantity: The estimated quantity.
        value: The estimate at the long-run size.
        budget: The budget, empty for none.
        source: How the estimate is derived.
    """

    role: str
    quantity: str
    value: str
    budget: str
    source: str


def main() -> None:
    """Print the table, or write it into the page with ``--write``."""
    figures = {row["name"]: row["ours"] for row in json.loads(MEASURES.read_text())}
    lines = [
        "| role | what | at the long-run size | budget | from |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {r.role} | {r.quantity} | {r.value} | {r.budget} | {r.source} |" for r in rows(figures)
    ]
    table = "\n".join(lines)
    if "--write" not in sys.argv:
        print(table)
        return
    text = PAGE.read_text()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    PAGE.write_text(f"{head}{BEGIN}\n{table}\n{END}{tail}")


def rows(figures: dict[str, float]) -> list[Row]:
    """Return the rows of the table.

    Args:
        figures: The measured figures by name.

    Returns:
        The rows.
    """
    small, middle, large = (
        "4 instances, 3 servers a zone",
        "8 instances, 6 servers a zone",
        "8 instances, 12 servers a zone",
    )
    cpu_percent = {
        size: figures[f"idle control, {size}: most of a core"] for size in (small, middle, large)
    }
    cpu_percent_per_poll = cpu_percent[middle] / 6.0
    polls_per_s = SERVER_COUNT / MAX_POLL_INTERVAL_S
    poll_bytes = figures["one idle poll with its headers"]
    traffic = {s: figures[f"idle control, {s}: most peer traffic"] for s in (small, middle)}
    kb_per_s_per_peer = (traffic[middle] - traffic[small]) / 4
    peer_traffic_kb_per_s = traffic[middle] + kb_per_s_per_peer * (INSTANCE_COUNT - 8)
    memory_mb = figures[f"idle, {large}: most memory"]
    mb_per_server = max(memory_mb - figures[f"idle, {middle}: most memory"], 0.0) / 6
    snapshot_kb = figures["snapshot of 1500 jobs"]
    appends_per_s = (JOBS_PER_DAY * 4 + CHANGES_PER_DAY + 770 * 2) / SECONDS_PER_DAY
    return [
        Row("zone scheduler", "idle polls", f"{polls_per_s:.1f}/s", "", "163 servers, 15 s polls"),
        Row("zone scheduler", "processor",
            f"{cpu_percent_per_poll * polls_per_s:.1f} % of a core", "4.4 %",
            f"{cpu_percent_per_poll:.2f} % for each poll a second"),
        Row("zone scheduler", "one placement, p99",
            f"{figures['one placement at 163 servers, p99']:.1f} ms", "5 ms", "measured at 163"),
        Row("zone scheduler", "memory",
            f"{memory_mb + mb_per_server * (SERVER_COUNT - 12):.0f} MB", "128 MB",
            f"{memory_mb:.0f} MB and {mb_per_server:.3f} MB a server"),
        Row("zone scheduler", "poll traffic", f"{polls_per_s * poll_bytes / 1000:.1f} KB/s",
            "6 KB/s", f"{poll_bytes:.0f} bytes for a poll with its headers"),
        Row("peer", "heartbeats", f"{peer_traffic_kb_per_s:.1f} KB/s", "6 KB/s",
            f"{kb_per_s_per_peer:.2f} KB/s for each further instance, 32 instances"),
        Row("entry", "added to a proof, median",
            f"{figures['10 ms proof at 50/s, over its own time, median']:.1f} ms", "15 ms",
            "measured at 50/s"),
        Row("log appender", "appends, all instances", f"{appends_per_s:.2f}/s", "several hundred/s",
            "4 for each job, 1 for each change, 2 for each replacement"),
        Row("log reader", "state", f"{snapshot_kb:.0f} KB packed", "", "a day's 1,500 jobs"),
        Row("log reader", "start from a snapshot",
            f"{figures['start from a snapshot of 1500 jobs']:.0f} ms", "", "measured"),
        Row("log reader", "snapshots", f"{snapshot_kb * 288 / 1000:.1f} MB a day", "",
            "one every 300 s"),
        Row("operators' reader", "configuration in force",
            f"{figures['configuration in force on 8 instances, worst of 5']:.2f} s", "4 s",
            "measured on 8 instances"),
    ]  # fmt: skip


if __name__ == "__main__":
    main()
