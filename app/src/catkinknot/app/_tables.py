"""Print values as tables, for the command line."""

import time
from typing import Any

from rich import box
from rich.console import Console
from rich.table import Table

__all__ = ["print_outcome", "print_status", "print_timeline"]

_WIDTH_COLUMNS = 120


def print_status(status: dict[str, Any]) -> None:
    """Print the status of the service.

    Args:
        status: The JSON value of ``/v1/status``.
    """
    console = _console()
    for text in status["unseen"]:
        console.print(f"! {text}")
    rows = [
        [lane["workspace"], lane["kind"], lane["state"], _clock(lane["since_s"]), lane["why"]]
        for lane in status["lanes"]
    ]
    _print_table(console, ["Workspace", "Kind", "State", "Since", "Why"], rows)
    rows = []
    for zone in status["zones"]:
        guarantees = "not honoured" if zone["unhonoured"] else "honoured"
        free = f"{zone['free_accelerators']}/{zone['accelerators']}"
        rows.append([zone["zone"], zone["holder"] or "nobody", zone["epoch"], free, guarantees])
    _print_table(console, ["Zone", "Scheduled by", "Epoch", "Free", "Guarantees"], rows)
    troubled = [
        [item["server"], item["state"], _clock(item["since_s"]), item["why"]]
        for instance in status["instances"]
        for item in instance["troubled"]
    ]
    if troubled:
        _print_table(console, ["Server", "State", "Since", "Why"], troubled)
    console.print(f"Configuration version {status['config_version']}, asked {status['asked']}.")


def print_timeline(timeline: dict[str, Any]) -> None:
    """Print merged events.

    Args:
        timeline: The JSON value of ``/v1/timeline``.
    """
    console = _console()
    for name in timeline["unasked"]:
        console.print(f"! Instance {name} does not answer.")
    rows = [
        [
            event["stamp"],
            event["instance"],
            event["name"],
            event["cause"]["job"] or event["cause"]["server"],
            event["text"],
        ]
        for event in timeline["events"]
    ]
    _print_table(console, ["Stamp", "Instance", "Event", "Job or server", "Text"], rows)


def print_outcome(outcome: dict[str, Any]) -> None:
    """Print the state or the outcome of a job.

    Args:
        outcome: The JSON value of a job.
    """
    job = f"{outcome['workspace']}/{outcome['key']}"
    print(f"{job}: {outcome['code']} {outcome['name']} {outcome['message']}".rstrip())
    if outcome["result"]:
        print(outcome["result"]["text"])
    elif outcome["advice"]:
        print(outcome["advice"])


def _console() -> Console:
    """Return the console that tables are printed to."""
    return Console(width=_WIDTH_COLUMNS, highlight=False, markup=False, soft_wrap=False)


def _print_table(console: Console, titles: list[str], rows: list[list[str]]) -> None:
    """Print one table."""
    table = Table(*titles, box=box.SIMPLE, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    console.print(table)


def _clock(at_s: float) -> str:
    """Return a time of day as text, empty for 0."""
    return time.strftime("%H:%M:%S", time.localtime(at_s)) if at_s else ""
