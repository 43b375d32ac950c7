"""Choose servers for tasks by processor, memory and accelerators."""

from ._place import Groups, Placement, Request, place, place_by_eviction
from ._plan import Prospect, Wanting, choose, guaranteed_jobs
from ._room import Occupant, Room

__all__ = [
    "Groups",
    "Occupant",
    "Placement",
    "Prospect",
    "Request",
    "Room",
    "Wanting",
    "choose",
    "guaranteed_jobs",
    "place",
    "place_by_eviction",
]
