"""Run one instance on the users' platform."""

from ._node import Node, run_node

__all__ = ["Node", "run_node"]
