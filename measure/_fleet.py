"""Measure what the leader of a large fleet decides, holds and writes."""

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

_FLEETS = (24, 176, 650, 2600)
_ROUNDS = 7
_TASKS_A_SERVER = 8
_JOBS = 2000


def measure_fleet(report: Report) -> None:
    """Measure one round of decisions, a job's memory and its records.

    Args:
        report: Where to add the measures.
    """
    for servers in _FLEETS:
        for name, may_preempt in (("into free room", False), ("by stopping others", True)):
            took_ms = statistics.median(_round_ms(servers, may_preempt) for _ in range(_ROUNDS))
            report.add(f"one gang of 4 placed {name} at {servers} servers", "ms", took_ms)
        took_ms = statistics.median(_clear_ms(servers) for _ in range(_ROUNDS))
        report.add(f"servers kept clear at {servers} servers", "ms", took_ms)
        took_ms = statistics.median(_saving_ms(servers) for _ in range(_ROUNDS))
        report.add(f"three gangs that wait and one backfill at {servers} servers", "ms", took_ms)
    report.add("memory of a job in the book", "KB", _job_kb())
    job = _job("0123456789abcdef", 4)
    state = StepState(StepKey(job.id, 0, 0), job.steps[0], job)
    state.assign({i: f"i-0123456789@179253906{i}690" for i in range(4)})
    report.add("record of a job with a payload of 600 bytes", "bytes", len(write_job(job)))
    report.add("record of a run of 4 tasks", "bytes", len(write_step(state)))


def _job(job_id: str, count: int) -> Job:
    """Return a job of one gang."""
    step = Step(count, Resources(13_000, 26_000, 4), estimate_ms=8500, gang=True)
    return Job(job_id, "authority", Policy("recon", "log"), "x" * 600, (step,), 1)


def _round_ms(servers: int, may_preempt: bool) -> float:
    """Return the time of one round for one gang."""
    rooms = _rooms(servers, _TASKS_A_SERVER if may_preempt else _TASKS_A_SERVER // 4)
    job = _job("0123456789abcdef", 4)
    wanting = PendingStep(
        StepState(StepKey(job.id, 0, 0), job.steps[0], job), 0.0, may_preempt=may_preempt
    )
    began_s = time.perf_counter()
    chosen = plan_placements([wanting], rooms, 1.0)
    took_s = time.perf_counter() - began_s
    if not chosen:
        raise AssertionError("the gang found no place")
    return took_s * 1000


def _rooms(servers: int, taken: int) -> list[ServerCapacity]:
    """Return servers with some small tasks on each."""
    rooms = []
    for i in range(servers):
        capacity = Resources(32_000, 65_536, 8)
        room = ServerCapacity(f"s{i}", "a", f"r{i // 6}", frozenset(), "log", capacity)
        for j in range(taken):
            need = Resources(2800, 4100, 1)
            room.put(Occupant(f"t{i}.{j}", f"t{i}.{j}", "s", need, 2, unsaved_core_s=float(j)))
        rooms.append(room)
    return rooms


def _clear_ms(servers: int) -> float:
    """Return the time to choose the servers that are kept clear."""
    rooms = _rooms(servers, _TASKS_A_SERVER // 2)
    began_s = time.perf_counter()
    select_headroom(rooms, servers)
    return (time.perf_counter() - began_s) * 1000


def _saving_ms(servers: int) -> float:
    """Return the time of one round for gangs that find no room, and small work after them."""
    rooms = _rooms(servers, _TASKS_A_SERVER - 1)
    wanting = []
    for i in range(3):
        job = _job(f"{i:016x}", 4)
        state = StepState(StepKey(job.id, 0, 0), job.steps[0], job)
        wanting.append(PendingStep(state, 0.0, may_preempt=False))
    step = Step(10 * servers, Resources(2800, 4100, 1), estimate_ms=9500)
    small = Job("f" * 16, "engineers", Policy("recompile", "log", priority=2), "", (step,), 1)
    wanting.append(
        PendingStep(StepState(StepKey(small.id, 0, 0), step, small), 0.0, may_preempt=False)
    )
    began_s = time.perf_counter()
    plan_placements(wanting, rooms, 1.0)
    return (time.perf_counter() - began_s) * 1000


def _job_kb() -> float:
    """Return the memory of one job in the book of an instance."""
    raw = [(f"{i:016x}", write_job(_job(f"{i:016x}", 4))) for i in range(_JOBS)]
    book = JobRegistry()
    tracemalloc.start()
    for key, value in raw:
        book.apply(key, value)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _JOBS / 1024
