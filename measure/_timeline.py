"""Measure the cost of the timeline's events per request."""

import time

from catkinknot.journal import EventRing, LogicalClock

from ._report import Report

__all__ = ["measure_timeline"]

_EVENT_COUNT = 100_000
_EVENTS_PER_REQUEST = 7
"""A brief job has six events (taken, queued, starting, started, ended, answered);
its messages take two stamps, which cost less than one event."""

_MIN_REQUEST_MS = 10.0
"""The least time of a request without the run time of its job."""


def measure_timeline(report: Report) -> None:
    """Measure the time of an event, and compare it with the time of a request.

    Args:
        report: Where to add the measures.
    """
    ring = EventRing("one", LogicalClock())
    began_s = time.perf_counter()
    for number in range(_EVENT_COUNT):
        ring.add("scheduler", "job.queued", "", job="w/k", zone="z", epoch="1.0", attempt=number)
    event_us = (time.perf_counter() - began_s) / _EVENT_COUNT * 1e6
    fraction = event_us * _EVENTS_PER_REQUEST / 1000 / _MIN_REQUEST_MS
    report.add("time line: one event", "us", event_us)
    report.add(
        "time line: part of a 10 ms request path",
        "%",
        fraction * 100,
        target="< 3 %",
        met=fraction < 0.03,
    )
