"""Bundle what the parts of one process share."""

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
    """Hold the parts that most others need.

    Attributes:
        instance: This instance.
        boot: Names this run of it.
        zone: Its availability zone.
        book: The configuration in force.
        reader: The state of the log.
        appender: Appends to the log.
        clients: The backend servers.
        ring: The time line of this process.
        metrics: Its metrics.
        clock: Where time comes from.
        spawn: Runs a function on another thread of a bounded pool.
        launch: Repeats a function on a thread of its own until it says False.
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
        """This run of this instance, as lease holders are named."""
        return f"{self.instance}:{self.boot}"
