"""Run an instance: one process that serves callers and operators and schedules jobs."""

from ._cli import main
from ._compose import ExternalServices, Instance, open_instance
from ._entry import build_server
from ._routing import zone_order
from ._serve import serve

__all__ = [
    "ExternalServices",
    "Instance",
    "build_server",
    "main",
    "open_instance",
    "serve",
    "zone_order",
]
