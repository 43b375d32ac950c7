"""Write values as tables for people."""

import time
from typing import Any

from rich import box
from rich.console import Console
from rich.table import Table

__all__ = ["print_outcome", "print_status", "print_timeline"]

_WIDTH = 120


def print_status(status: dict[str, Any]) -> None:
    """Print the answer to "is it down?".

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
    _print(console, ["Workspace", "Kind", "State", "Since", "Why"], rows)
    rows = []
    for zone in status["zones"]:
        kept = "not honoured" if zone["unhonoured"] else "honoured"
        free = f"{zone['free_accelerators']}/{zone['accelerators']}"
        rows.append([zone["zone"], zone["holder"] or "nobody", zone["epoch"], free, kept])
    _print(console, ["Zone", "Scheduled by", "Epoch", "Free", "Guarantees"], rows)
    troubled = [
        [item["server"], item["state"], _clock(item["since_s"]), item["why"]]
        for instance in status["instances"]
        for item in instance["troubled"]
    ]
    if troubled:
        _print(console, ["Server", "State", "Since", "Why"], troubled)
    console.print(f"Configuration version {status['config_version']}, asked {status['asked']}.")


def print_timeline(line: dict[str, Any]) -> None:
    """Print merged events.

    Args:
        line: The JSON value of ``/v1/timeline``.
    """
    console = _console()
    for name in line["unasked"]:
        console.print(f"! Instance {name} does not answer.")
    rows = [
        [
            event["stamp"],
            event["instance"],
            event["name"],
            event["cause"]["job"] or event["cause"]["server"],
            event["text"],
        ]
        for event in line["events"]
    ]
    _print(console, ["Stamp", "Instance", "Event", "Job or server", "Text"], rows)


def print_outcome(outcome: dict[str, Any]) -> None:
    """Print how a job stands or ended.

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
    """Return where tables are printed."""
    return Console(width=_WIDTH, highlight=False, markup=False, soft_wrap=False)


def _print(console: Console, head: list[str], rows: list[list[str]]) -> None:
    """Print one table."""
    table = Table(*head, box=box.SIMPLE, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    console.print(table)


def _clock(at_s: float) -> str:
    """Write a time of day, nothing for 0."""
    return time.strftime("%H:%M:%S", time.localtime(at_s)) if at_s else ""
