"""Run one instance on the users' platform."""

from ._explain import Story, explain, read_lines
from ._node import Node, run_node

__all__ = ["Node", "Story", "explain", "read_lines", "run_node"]
