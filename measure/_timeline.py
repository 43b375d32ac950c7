"""Measure what the time line costs a request."""

import time

from catkinknot.journal import EventRing, LogicalClock

from ._report import Report

__all__ = ["measure_timeline"]

_EVENTS = 100_000
_EVENTS_A_REQUEST = 7
"""A brief job is taken, queued, starting, started, ended and answered, and its
messages take two stamps, which cost less than an event."""

_REQUEST_MS = 10.0
"""What a request costs beside the work itself, at the least."""


def measure_timeline(report: Report) -> None:
    """Time events and compare them with a request.

    Args:
        report: Where to add the measures.
    """
    ring = EventRing("one", LogicalClock())
    began = time.perf_counter()
    for number in range(_EVENTS):
        ring.add("scheduler", "job.queued", "", job="w/k", zone="z", epoch="1.0", attempt=number)
    each_us = (time.perf_counter() - began) / _EVENTS * 1e6
    part = each_us * _EVENTS_A_REQUEST / 1000 / _REQUEST_MS
    report.add("time line: one event", "us", each_us)
    report.add(
        "time line: part of a 10 ms request path",
        "%",
        part * 100,
        target="< 3 %",
        met=part < 0.03,
    )
