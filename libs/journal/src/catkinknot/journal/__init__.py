"""Events, metrics, logs, and the assessment whether the service is down."""

from ._events import Cause, Event, EventFilter, EventRing, merge_events
from ._health import LaneCounts, LaneHealth, ServiceWindow, evaluate_lane
from ._json_lines import LineWriter, open_json_logs
from ._logical import LogicalClock, stamp_wall_s
from ._logs import part_logger, set_up_logs
from ._metrics import Metrics

__all__ = [
    "Cause",
    "Event",
    "EventFilter",
    "EventRing",
    "LaneCounts",
    "LaneHealth",
    "LineWriter",
    "LogicalClock",
    "Metrics",
    "ServiceWindow",
    "evaluate_lane",
    "merge_events",
    "open_json_logs",
    "part_logger",
    "set_up_logs",
    "stamp_wall_s",
]
