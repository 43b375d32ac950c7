"""Hold a configuration: queues, services, workspaces and limits."""

from dataclasses import dataclass, field

from ._spec import Policy

__all__ = ["Configuration", "Limits", "Queue", "Service", "Workspace", "select_queue"]


@dataclass(frozen=True, slots=True)
class Queue:
    """Take the jobs of one route.

    Attributes:
        host: The host name callers use.
        prefix: What paths of this queue begin with.
        policy: What it promises its jobs.
        timeout_ms: How long a call may take.
        allows_anonymous: Whether calls need no key.
    """

    host: str
    prefix: str
    policy: Policy
    timeout_ms: int = 3000
    allows_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """Name a pool of backend servers.

    Attributes:
        name: Its name.
        enforces_capacity: Whether its servers refuse what does not fit.
        spare: Whether its servers are off until they are moved.
        health_path: Where its servers answer health checks.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class Workspace:
    """Own keys and a guarantee.

    Attributes:
        name: Its name.
        keys: Keys its callers use.
        guaranteed_accelerators: Accelerators its urgent jobs can always have.
    """

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound what callers may send.

    Attributes:
        max_body_bytes: Largest body.
        max_header_bytes: Largest header section.
        header_timeout_ms: Time for a whole header section.
        idle_timeout_ms: Time without a request on a connection.
    """

    max_body_bytes: int = 262144
    max_header_bytes: int = 16384
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold all that an operator decides, under one version."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    limits: Limits = Limits()

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to."""
        return next((w for w in self.workspaces.values() if key in w.keys), None)


def select_queue(cfg: Configuration, host: str, path: str) -> Queue | None:
    """Return the queue with the longest prefix of a path on a host.

    Args:
        cfg: The configuration in force.
        host: The host name, in lower case and without a port.
        path: The path of the call.
    """
    fits = (q for q in cfg.queues if q.host.lower() == host and path.startswith(q.prefix))
    return max(fits, key=lambda q: len(q.prefix), default=None)
