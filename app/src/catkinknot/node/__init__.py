"""Run one instance on the users' platform."""

from ._explain import JobTimeline, explain, read_lines
from ._node import Node, run_node

__all__ = ["JobTimeline", "Node", "explain", "read_lines", "run_node"]
