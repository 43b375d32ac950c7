"""Show a whole deployment at work: `make run`."""

import argparse
import json
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from stage import Deployment, Node, open_deployment

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
ZONES = ("vejle-hal", "vejle-kontor", "fredericia", "horsens")
SERVERS = 6
DONE = 1000


@dataclass(frozen=True)
class Order:
    """Describe one job of the demonstration.

    Attributes:
        workspace: Who pays.
        kind: The kind of work.
        key: The request key.
        accelerators: What it needs at once.
        duration_s: How long it runs.
        caller: Who asks.
    """

    workspace: str
    kind: str
    key: str
    accelerators: int
    duration_s: float
    caller: str = "demo"


@dataclass(frozen=True)
class Row:
    """Hold the end of one job.

    Attributes:
        order: The job.
        zone: Where it ran.
        code: The result code.
        took_s: Seconds from submit to answer.
    """

    order: Order
    zone: str
    code: int
    took_s: float


def main() -> int:
    """Run the demonstration.

    Returns:
        0 when every job ended with the result owed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave the deployment up")
    keep = parser.parse_args().keep
    with open_deployment() as stage:
        nodes = _set_up(stage)
        rows = _ordinary(stage, nodes)
        rows += _flood(stage, nodes)
        rows += _kill(stage, nodes)
        _print_rows(rows)
        good = all(row.code == DONE for row in rows) and _once(stage, rows)
        if keep:
            _keep(nodes)
    return 0 if good else 1


def _set_up(stage: Deployment) -> list[Node]:
    """Start backend servers and instances and publish the configuration."""
    _say("Starting 24 backend servers and 8 instances.")
    for zone in ZONES:
        stage.start_backends(zone, SERVERS)
    nodes = [stage.start_node(f"{zone}-{n}", zone) for zone in ZONES for n in (1, 2)]
    for node in nodes:
        stage.wait_port(node.http)
    config = json.loads((EXAMPLES / "holmgaard-config.json").read_text())
    version = stage.post(nodes[0].http, "/v1/config?base_version=0", config)
    _say(f"Published the configuration: {version}.")
    for node in nodes:
        stage.wait_ready(node)
    stage.wait_status(nodes[0], _all_scheduled)
    _say("Every zone is scheduled and all servers answer.")
    return nodes


def _all_scheduled(status: dict) -> bool:
    """Tell whether all zones are held with all their servers."""
    return all(zone["servers"] == SERVERS for zone in status["zones"])


def _ordinary(stage: Deployment, nodes: list[Node]) -> list[Row]:
    """Run some of every kind of work."""
    _say("Proofs, plates and colour checks, through every instance.")
    orders = [Order("sales", "proof", f"proof-{n}", 1, 0.05) for n in range(16)]
    orders += [Order("sales", "proof", f"gang-{n}", 4, 0.2) for n in range(4)]
    orders += [Order("plates", "plate", f"plate-{n}", 16, 1.0) for n in range(4)]
    orders += [Order("colour", "colour-check", f"check-{n}", 2, 0.3) for n in range(8)]
    return _run_all(stage, nodes, orders)


def _flood(stage: Deployment, nodes: list[Node]) -> list[Row]:
    """Flood the fleet with the least urgent work, then ask for guarantees."""
    _say("A flood of colour checks borrows the whole fleet.")
    flood = [Order("colour", "colour-check", f"flood-{n}", 8, 2.0) for n in range(48)]
    with ThreadPoolExecutor(1) as side:
        behind = side.submit(_run_all, stage, nodes, flood)
        time.sleep(1.0)
        _say("Sales and plates reclaim their guarantees meanwhile.")
        urgent = [Order("sales", "proof", f"reclaim-{n}", 4, 0.2) for n in range(4)]
        urgent += [Order("plates", "plate", f"reclaim-{n}", 16, 0.5) for n in range(2)]
        rows = _run_all(stage, nodes, urgent)
        return rows + behind.result()


def _kill(stage: Deployment, nodes: list[Node]) -> list[Row]:
    """Kill a deciding instance in the middle of work."""
    status = stage.get(nodes[0].http, "/v1/status")
    holder = next(zone["holder"] for zone in status["zones"] if zone["holder"] != nodes[0].name)
    alive = [node for node in nodes if node.name != holder]
    orders = [Order("plates", "plate", f"night-{n}", 8, 2.0) for n in range(8)]
    orders += [Order("sales", "proof", f"late-{n}", 1, 1.5) for n in range(8)]
    with ThreadPoolExecutor(1) as side:
        behind = side.submit(_run_all, stage, alive, orders)
        time.sleep(0.7)
        _say(f"Killing {holder}, which schedules its zone.")
        stage.signal(holder, signal.SIGKILL)
        return behind.result()


def _run_all(stage: Deployment, nodes: list[Node], orders: list[Order]) -> list[Row]:
    """Submit jobs at the same time through all instances in turn."""
    with ThreadPoolExecutor(len(orders)) as pool:
        futs = [
            pool.submit(_run_one, stage, nodes[place % len(nodes)], order)
            for place, order in enumerate(orders)
        ]
        rows = [fut.result() for fut in futs]
    slowest = max(row.took_s for row in rows)
    _say(f"{len(rows)} jobs ended, the slowest after {slowest:.2f} s.")
    return rows


def _run_one(stage: Deployment, node: Node, order: Order) -> Row:
    """Submit a job and ask until it has ended."""
    request = {
        "workspace": order.workspace,
        "kind": order.kind,
        "key": order.key,
        "caller": order.caller,
        "accelerators": order.accelerators,
        "body": {"duration_s": order.duration_s},
    }
    began = time.monotonic()
    answer = stage.post(node.http, "/v1/jobs?wait_s=20", request)
    while answer["code"] in (1001, 1002, 5000) or answer.get("retry"):
        if time.monotonic() - began > 45:
            break
        time.sleep(0.1)
        answer = stage.post(node.http, "/v1/jobs?wait_s=20", request)
    took_s = time.monotonic() - began
    return Row(order, answer.get("zone", ""), answer["code"], took_s)


def _once(stage: Deployment, rows: list[Row]) -> bool:
    """Check on the servers that no plate job was started twice without a stop."""
    starts: dict[str, set[int]] = {}
    for port in stage.backends.values():
        for job, attempt in stage.get(port, "/starts")["starts"]:
            if attempt in starts.setdefault(job, set()):
                _say(f"{job} was started twice as attempt {attempt}.")
                return False
            starts[job].add(attempt)
    plates = [row for row in rows if row.order.kind == "plate"]
    _say(f"{len(plates)} plate jobs ran, none of them twice.")
    return True


def _print_rows(rows: list[Row]) -> None:
    """Print a table of every job."""
    print(f"{'kind':<14}{'workspace':<12}{'key':<14}{'zone':<14}{'code':>5}{'seconds':>9}")
    for row in rows:
        order = row.order
        print(
            f"{order.kind:<14}{order.workspace:<12}{order.key:<14}"
            f"{row.zone:<14}{row.code:>5}{row.took_s:>9.2f}"
        )


def _keep(nodes: list[Node]) -> None:
    """Leave the deployment up until interrupted."""
    print("The deployment stays up; press Ctrl-C to end it. Try:")
    at = nodes[0].at
    print(f"  .venv/bin/catkinknot status --at {at}")
    print(f"  .venv/bin/catkinknot submit sales proof --at {at}")
    print(f"  .venv/bin/catkinknot timeline --last_s 60 --at {at}")
    print(f"  a browser on http://{at}/")
    for node in nodes:
        print(f"  {node.name:<16} {node.at}")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        print("Ending.")


def _say(text: str) -> None:
    """Print a line of progress."""
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
