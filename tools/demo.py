"""Run a demonstration of a whole deployment: `make run`."""

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
SERVERS_PER_ZONE = 6
DONE_CODE = 1000


@dataclass(frozen=True)
class Order:
    """Request for one job of the demonstration.

    Attributes:
        workspace: The workspace that the job is charged to.
        kind: The kind of work.
        key: The request key.
        accelerators: How many accelerators the job needs at once.
        duration_s: How long the job runs.
        caller: The name of the caller.
    """

    workspace: str
    kind: str
    key: str
    accelerators: int
    duration_s: float
    caller: str = "demo"


@dataclass(frozen=True)
class Row:
    """Outcome of one job.

    Attributes:
        order: The request for the job.
        zone: The zone in which the job ran.
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
        The exit status: 0 when every job is done and no plate job was started twice.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave the deployment running")
    keep_running = parser.parse_args().keep
    with open_deployment() as deployment:
        nodes = _set_up(deployment)
        rows = _run_mixed_jobs(deployment, nodes)
        rows += _run_flood(deployment, nodes)
        rows += _kill_holder(deployment, nodes)
        _print_rows(rows)
        passed = all(row.code == DONE_CODE for row in rows) and _check_started_once(
            deployment, rows
        )
        if keep_running:
            _wait_for_interrupt(nodes)
    return 0 if passed else 1


def _set_up(deployment: Deployment) -> list[Node]:
    """Start backend servers and instances, and publish the configuration."""
    _print_progress("Starting 24 backend servers and 8 instances.")
    for zone in ZONES:
        deployment.start_backends(zone, SERVERS_PER_ZONE)
    nodes = [deployment.start_node(f"{zone}-{n}", zone) for zone in ZONES for n in (1, 2)]
    for node in nodes:
        deployment.wait_port(node.http)
    config = json.loads((EXAMPLES / "holmgaard-config.json").read_text())
    version = deployment.post(nodes[0].http, "/v1/config?base_version=0", config)
    _print_progress(f"Published the configuration: {version}.")
    for node in nodes:
        deployment.wait_ready(node)
    deployment.wait_status(nodes[0], _all_scheduled)
    _print_progress("Every zone is scheduled and all servers answer.")
    return nodes


def _all_scheduled(status: dict) -> bool:
    """Return whether all zones are scheduled with all their servers."""
    return all(zone["servers"] == SERVERS_PER_ZONE for zone in status["zones"])


def _run_mixed_jobs(deployment: Deployment, nodes: list[Node]) -> list[Row]:
    """Run some jobs of every kind of work."""
    _print_progress("Proofs, plates and colour checks, through every instance.")
    orders = [Order("sales", "proof", f"proof-{n}", 1, 0.05) for n in range(16)]
    orders += [Order("sales", "proof", f"gang-{n}", 4, 0.2) for n in range(4)]
    orders += [Order("plates", "plate", f"plate-{n}", 16, 1.0) for n in range(4)]
    orders += [Order("colour", "colour-check", f"check-{n}", 2, 0.3) for n in range(8)]
    return _run_all(deployment, nodes, orders)


def _run_flood(deployment: Deployment, nodes: list[Node]) -> list[Row]:
    """Flood the fleet with the least urgent work, then submit jobs within guarantees."""
    _print_progress("A flood of colour checks borrows the whole fleet.")
    flood = [Order("colour", "colour-check", f"flood-{n}", 8, 2.0) for n in range(48)]
    with ThreadPoolExecutor(1) as background:
        rows_future = background.submit(_run_all, deployment, nodes, flood)
        time.sleep(1.0)
        _print_progress("Sales and plates reclaim their guarantees meanwhile.")
        urgent = [Order("sales", "proof", f"reclaim-{n}", 4, 0.2) for n in range(4)]
        urgent += [Order("plates", "plate", f"reclaim-{n}", 16, 0.5) for n in range(2)]
        rows = _run_all(deployment, nodes, urgent)
        return rows + rows_future.result()


def _kill_holder(deployment: Deployment, nodes: list[Node]) -> list[Row]:
    """Kill an instance that schedules a zone while jobs run."""
    status = deployment.get(nodes[0].http, "/v1/status")
    holder = next(zone["holder"] for zone in status["zones"] if zone["holder"] != nodes[0].name)
    survivors = [node for node in nodes if node.name != holder]
    orders = [Order("plates", "plate", f"night-{n}", 8, 2.0) for n in range(8)]
    orders += [Order("sales", "proof", f"late-{n}", 1, 1.5) for n in range(8)]
    with ThreadPoolExecutor(1) as background:
        rows_future = background.submit(_run_all, deployment, survivors, orders)
        time.sleep(0.7)
        _print_progress(f"Killing {holder}, which schedules its zone.")
        deployment.signal(holder, signal.SIGKILL)
        return rows_future.result()


def _run_all(deployment: Deployment, nodes: list[Node], orders: list[Order]) -> list[Row]:
    """Submit jobs at the same time, to the instances in turn."""
    with ThreadPoolExecutor(len(orders)) as pool:
        futs = [
            pool.submit(_run_one, deployment, nodes[index % len(nodes)], order)
            for index, order in enumerate(orders)
        ]
        rows = [fut.result() for fut in futs]
    slowest = max(row.took_s for row in rows)
    _print_progress(f"{len(rows)} jobs ended, the slowest after {slowest:.2f} s.")
    return rows


def _run_one(deployment: Deployment, node: Node, order: Order) -> Row:
    """Submit a job, and repeat the request until the job has ended or 45 s have passed."""
    request = {
        "workspace": order.workspace,
        "kind": order.kind,
        "key": order.key,
        "caller": order.caller,
        "accelerators": order.accelerators,
        "body": {"duration_s": order.duration_s},
    }
    began_s = time.monotonic()
    answer = deployment.post(node.http, "/v1/jobs?wait_s=20", request)
    while answer["code"] in (1001, 1002, 5000) or answer.get("retry"):
        if time.monotonic() - began_s > 45:
            break
        time.sleep(0.1)
        answer = deployment.post(node.http, "/v1/jobs?wait_s=20", request)
    took_s = time.monotonic() - began_s
    return Row(order, answer.get("zone", ""), answer["code"], took_s)


def _check_started_once(deployment: Deployment, rows: list[Row]) -> bool:
    """Check the starts that the servers recorded: each attempt of a job was started once."""
    starts: dict[str, set[int]] = {}
    for port in deployment.backends.values():
        for job, attempt in deployment.get(port, "/starts")["starts"]:
            if attempt in starts.setdefault(job, set()):
                _print_progress(f"{job} was started twice as attempt {attempt}.")
                return False
            starts[job].add(attempt)
    plates = [row for row in rows if row.order.kind == "plate"]
    _print_progress(f"{len(plates)} plate jobs ran, none of them twice.")
    return True


def _print_rows(rows: list[Row]) -> None:
    """Print a table with a row for each job."""
    print(f"{'kind':<14}{'workspace':<12}{'key':<14}{'zone':<14}{'code':>5}{'seconds':>9}")
    for row in rows:
        order = row.order
        print(
            f"{order.kind:<14}{order.workspace:<12}{order.key:<14}"
            f"{row.zone:<14}{row.code:>5}{row.took_s:>9.2f}"
        )


def _wait_for_interrupt(nodes: list[Node]) -> None:
    """Print how to use the deployment, and wait for an interrupt."""
    print("The deployment keeps running; press Ctrl-C to stop it. Try:")
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
        print("Stopping.")


def _print_progress(text: str) -> None:
    """Print a line of progress at once."""
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
