"""Run catkinknot: one process for callers, operators and scheduling."""

from ._cli import main
from ._compose import Instance, Outside, open_instance
from ._entry import build_server
from ._routing import zone_order
from ._serve import serve

__all__ = ["Instance", "Outside", "build_server", "main", "open_instance", "serve", "zone_order"]
