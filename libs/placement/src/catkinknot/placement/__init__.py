"""Choose accelerators for gangs so that every guarantee can be reclaimed."""

from ._fleet import Allocation, Fleet, Placement, Plan, Shape, Slice, Slot
from ._naive import FirstFitFleet
from ._pack import Room, unpacked_shapes

__all__ = [
    "Allocation",
    "FirstFitFleet",
    "Fleet",
    "Placement",
    "Plan",
    "Room",
    "Shape",
    "Slice",
    "Slot",
    "unpacked_shapes",
]
