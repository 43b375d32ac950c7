"""Choose servers for tasks by processor, memory and accelerators."""

from ._capacity import Occupant, ServerCapacity
from ._headroom import Demand, select_clear, select_headroom
from ._place import OccupantGroups, Placement, Request, place, place_by_preemption
from ._plan import ExpectedValue, PendingStep, guaranteed_jobs, plan_placements

__all__ = [
    "Demand",
    "ExpectedValue",
    "Occupant",
    "OccupantGroups",
    "PendingStep",
    "Placement",
    "Request",
    "ServerCapacity",
    "guaranteed_jobs",
    "place",
    "place_by_preemption",
    "plan_placements",
    "select_clear",
    "select_headroom",
]
