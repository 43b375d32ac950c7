"""Choose accelerators for gangs so that every guarantee can be reclaimed."""

from ._fleet import Allocation, Fleet, Placement, Plan, ServerSpec, Shape, Slice
from ._naive import FirstFitFleet
from ._pack import FreeCapacity, unpacked_shapes

__all__ = [
    "Allocation",
    "FirstFitFleet",
    "Fleet",
    "FreeCapacity",
    "Placement",
    "Plan",
    "ServerSpec",
    "Shape",
    "Slice",
    "unpacked_shapes",
]
