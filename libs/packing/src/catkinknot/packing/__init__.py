"""Choose servers for tasks by processor, memory and accelerators."""

from ._place import Placement, Request, place, place_by_eviction
from ._plan import Wanting, choose, guaranteed_jobs
from ._room import Occupant, Room

__all__ = [
    "Occupant",
    "Placement",
    "Request",
    "Room",
    "Wanting",
    "choose",
    "guaranteed_jobs",
    "place",
    "place_by_eviction",
]
