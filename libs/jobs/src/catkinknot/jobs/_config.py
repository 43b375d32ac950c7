"""Configuration: queues, services, workspaces and limits."""

from dataclasses import dataclass, field

from ._spec import Policy

__all__ = ["Configuration", "Limits", "Queue", "Service", "Workspace", "select_queue"]


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue that accepts the jobs of one route.

    Attributes:
        host: Host name that callers use.
        prefix: Prefix of the paths that belong to the queue.
        policy: Policy for the jobs of the queue.
        timeout_ms: Longest time that a call may take, in milliseconds.
        allows_anonymous: Whether calls are accepted without a key.
    """

    host: str
    prefix: str
    policy: Policy
    timeout_ms: int = 3000
    allows_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """Pool of backend servers.

    Attributes:
        name: Name of the pool.
        enforces_capacity: Whether the servers refuse tasks that do not fit.
        spare: Whether the servers are off until they are moved.
        health_path: Path at which the servers answer health checks.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class Workspace:
    """Workspace with its keys and its guarantee.

    Attributes:
        name: Name of the workspace.
        keys: Keys that its callers use.
        guaranteed_accelerators: Number of accelerators guaranteed to its urgent
            jobs.
    """

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on requests and connections of callers.

    Attributes:
        max_body_bytes: Largest request body.
        max_header_bytes: Largest header section.
        header_timeout_ms: Longest time to receive a header section, in
            milliseconds.
        idle_timeout_ms: Longest time without a request on a connection, in
            milliseconds.
    """

    max_body_bytes: int = 262144
    max_header_bytes: int = 16384
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration that the operator sets."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    limits: Limits = Limits()

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return next((w for w in self.workspaces.values() if key in w.keys), None)


def select_queue(cfg: Configuration, host: str, path: str) -> Queue | None:
    """Return the queue on a host with the longest prefix of a path, or None.

    Args:
        cfg: The configuration in force.
        host: Host name, in lower case and without a port.
        path: Path of the call.
    """
    matches = (q for q in cfg.queues if q.host.lower() == host and path.startswith(q.prefix))
    return max(matches, key=lambda q: len(q.prefix), default=None)
