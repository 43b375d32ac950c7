"""Soak test: run real instances under injected faults, and check their guarantees."""

from ._callers import Callers, SubmittedJob
from ._checks import check_completed, check_history
from ._environment import CAPACITY, DriftingServer, TestEnvironment
from ._instances import Instance, open_instance
from ._plan import Event, Kind, draw_faults
from ._proxy import Proxy, ProxyFault, open_proxy
from ._run import Result, run_seed

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
    "draw_faults",
    "open_instance",
    "open_proxy",
    "run_seed",
]
