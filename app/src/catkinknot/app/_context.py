"""Define the context that the parts of one instance share."""

from collections.abc import Callable
from dataclasses import dataclass

from catkinknot.journal import EventRing, Metrics
from catkinknot.model import Clock
from catkinknot.platformlog import Appender, LogReader

from ._config_registry import ConfigRegistry
from ._servers import ClientPool

__all__ = ["InstanceContext"]


@dataclass(frozen=True)
class InstanceContext:
    """Identity and shared services of one instance process.

    Attributes:
        instance: The name of this instance.
        boot: The identifier of this process, new at each start of the instance.
        zone: The availability zone of this instance.
        book: The registry of the configuration in force.
        reader: Reads the log and holds its state.
        appender: Appends records to the log.
        clients: The clients of the backend servers.
        ring: The recent events of this process.
        metrics: The metrics of this process.
        clock: The source of time.
        spawn: Runs a function on a thread of a bounded pool.
        launch: Repeats a function on its own thread until it returns False.
    """

    instance: str
    boot: str
    zone: str
    book: ConfigRegistry
    reader: LogReader
    appender: Appender
    clients: ClientPool
    ring: EventRing
    metrics: Metrics
    clock: Clock
    spawn: Callable[..., None]
    launch: Callable[[str, Callable[[], bool]], None]

    @property
    def holder(self) -> str:
        """The name of this process as a holder of leases and terms."""
        return f"{self.instance}:{self.boot}"
