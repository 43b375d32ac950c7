"""Schedule the jobs of one availability zone."""

from ._accounting import UsageAccounting
from ._capacity import ZoneCapacity, guaranteed_shapes, zone_servers
from ._decisions import Decision, DropJob, StartJob, StopJob
from ._job import Job, JobState
from ._planner import Planner

__all__ = [
    "Decision",
    "DropJob",
    "Job",
    "JobState",
    "Planner",
    "StartJob",
    "StopJob",
    "UsageAccounting",
    "ZoneCapacity",
    "guaranteed_shapes",
    "zone_servers",
]
