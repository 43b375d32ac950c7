"""Record what happens, count it, and say whether the service is down."""

from ._events import Cause, Event, EventFilter, EventRing, merge_events
from ._json_lines import LineWriter, open_json_logs
from ._logical import LogicalClock, stamp_wall_s
from ._logs import part_logger, set_up_logs
from ._metrics import Metrics
from ._verdict import LaneCounts, LaneVerdict, ServiceWindow, judge_lane

__all__ = [
    "Cause",
    "Event",
    "EventFilter",
    "EventRing",
    "LaneCounts",
    "LaneVerdict",
    "LineWriter",
    "LogicalClock",
    "Metrics",
    "ServiceWindow",
    "judge_lane",
    "merge_events",
    "open_json_logs",
    "part_logger",
    "set_up_logs",
    "stamp_wall_s",
]
