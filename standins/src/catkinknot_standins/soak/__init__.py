"""Run real instances for a while under faults from outside, and check what they promise."""

from ._callers import Callers, SubmittedJob
from ._checks import check_completed, check_history
from ._environment import CAPACITY, DriftingServer, TestEnvironment
from ._instances import Instance, open_instance
from ._plan import Event, Kind, draw
from ._proxy import Proxy, ProxyFault, open_proxy
from ._run import Result, play

__all__ = [
    "CAPACITY",
    "Callers",
    "DriftingServer",
    "Event",
    "Instance",
    "Kind",
    "Proxy",
    "ProxyFault",
    "Result",
    "SubmittedJob",
    "TestEnvironment",
    "check_completed",
    "check_history",
    "draw",
    "open_instance",
    "open_proxy",
    "play",
]
