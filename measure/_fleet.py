"""Measure the leader of a large fleet: planning time, memory and record sizes."""

import statistics
import time
import tracemalloc

from catkinknot.jobs import (
    Job,
    JobRegistry,
    Policy,
    Resources,
    Step,
    StepKey,
    StepState,
    write_job,
    write_step,
)
from catkinknot.packing import (
    Occupant,
    PendingStep,
    ServerCapacity,
    plan_placements,
    select_headroom,
)

from ._report import Report

__all__ = ["measure_fleet"]

_FLEET_SIZES = (24, 176, 650, 2600)
_ROUND_COUNT = 7
_TASKS_PER_SERVER = 8
_JOB_COUNT = 2000


def measure_fleet(report: Report) -> None:
    """Measure planning rounds, the memory of a job and the size of its records.

    Args:
        report: Where to add the measures.
    """
    for servers in _FLEET_SIZES:
        for name, may_preempt in (("into free room", False), ("by stopping others", True)):
            took_ms = statistics.median(
                _round_ms(servers, may_preempt) for _ in range(_ROUND_COUNT)
            )
            report.add(f"one gang of 4 placed {name} at {servers} servers", "ms", took_ms)
        took_ms = statistics.median(_headroom_ms(servers) for _ in range(_ROUND_COUNT))
        report.add(f"servers kept clear at {servers} servers", "ms", took_ms)
        took_ms = statistics.median(_reserving_ms(servers) for _ in range(_ROUND_COUNT))
        report.add(f"three gangs that wait and one backfill at {servers} servers", "ms", took_ms)
    report.add("memory of a job in the book", "KB", _job_memory_kb())
    job = _make_job("0123456789abcdef", 4)
    state = StepState(StepKey(job.id, 0, 0), job.steps[0], job)
    state.assign({i: f"i-0123456789@179253906{i}690" for i in range(4)})
    report.add("record of a job with a payload of 600 bytes", "bytes", len(write_job(job)))
    report.add("record of a run of 4 tasks", "bytes", len(write_step(state)))


def _make_job(job_id: str, count: int) -> Job:
    """Return a job of one gang."""
    step = Step(count, Resources(13_000, 26_000, 4), estimate_ms=8500, gang=True)
    return Job(job_id, "authority", Policy("recon", "log"), "x" * 600, (step,), 1)


def _round_ms(servers: int, may_preempt: bool) -> float:
    """Return the time of a planning round for one gang, in ms."""
    server_capacities = _make_servers(
        servers, _TASKS_PER_SERVER if may_preempt else _TASKS_PER_SERVER // 4
    )
    job = _make_job("0123456789abcdef", 4)
    pending = PendingStep(
        StepState(StepKey(job.id, 0, 0), job.steps[0], job), 0.0, may_preempt=may_preempt
    )
    began_s = time.perf_counter()
    placements = plan_placements([pending], server_capacities, 1.0)
    took_s = time.perf_counter() - began_s
    if not placements:
        raise AssertionError("the gang was not placed")
    return took_s * 1000


def _make_servers(servers: int, tasks_per_server: int) -> list[ServerCapacity]:
    """Return servers that each run some small tasks."""
    server_capacities = []
    for i in range(servers):
        capacity = Resources(32_000, 65_536, 8)
        server = ServerCapacity(f"s{i}", "a", f"r{i // 6}", frozenset(), "log", capacity)
        for j in range(tasks_per_server):
            need = Resources(2800, 4100, 1)
            server.put(Occupant(f"t{i}.{j}", f"t{i}.{j}", "s", need, 2, unsaved_core_s=float(j)))
        server_capacities.append(server)
    return server_capacities


def _headroom_ms(servers: int) -> float:
    """Return the time to select the servers kept as headroom, in ms."""
    server_capacities = _make_servers(servers, _TASKS_PER_SERVER // 2)
    began_s = time.perf_counter()
    select_headroom(server_capacities, servers)
    return (time.perf_counter() - began_s) * 1000


def _reserving_ms(servers: int) -> float:
    """Return the time of a round with three unplaceable gangs and a backfill job, in ms."""
    server_capacities = _make_servers(servers, _TASKS_PER_SERVER - 1)
    pending = []
    for i in range(3):
        job = _make_job(f"{i:016x}", 4)
        state = StepState(StepKey(job.id, 0, 0), job.steps[0], job)
        pending.append(PendingStep(state, 0.0, may_preempt=False))
    step = Step(10 * servers, Resources(2800, 4100, 1), estimate_ms=9500)
    small_job = Job("f" * 16, "engineers", Policy("recompile", "log", priority=2), "", (step,), 1)
    pending.append(
        PendingStep(StepState(StepKey(small_job.id, 0, 0), step, small_job), 0.0, may_preempt=False)
    )
    began_s = time.perf_counter()
    plan_placements(pending, server_capacities, 1.0)
    return (time.perf_counter() - began_s) * 1000


def _job_memory_kb() -> float:
    """Return the memory of one job in the registry of an instance, in KiB."""
    records = [(f"{i:016x}", write_job(_make_job(f"{i:016x}", 4))) for i in range(_JOB_COUNT)]
    registry = JobRegistry()
    tracemalloc.start()
    for key, value in records:
        registry.apply(key, value)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / _JOB_COUNT / 1024
