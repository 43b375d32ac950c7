"""Hold the clients of the backend servers and the reasons not to use a server."""

import threading
from collections.abc import Callable

from catkinknot.backends import BackendClient, HttpBackendClient
from catkinknot.backends.exceptions import BackendUnreachableError
from catkinknot.membership import ListedInstance
from catkinknot.model import Address

from ._messages import ServerStatus

__all__ = ["ClientPool", "ServerIssues", "connect_http"]

Connect = Callable[[ListedInstance], BackendClient]


def connect_http(listed: ListedInstance) -> BackendClient:
    """Return an HTTP client for a listed backend server."""
    return HttpBackendClient(listed.name, Address(listed.ip, listed.port))


class ClientPool:
    """Pool with one client for each listed backend server."""

    def __init__(self, connect: Connect = connect_http) -> None:
        """Create an empty pool.

        Args:
            connect: Returns a new client for a listed server.
        """
        self._connect = connect
        self._lock = threading.Lock()
        self._clients: dict[str, tuple[ListedInstance, BackendClient]] = {}

    def get_or_connect(self, listed: ListedInstance) -> BackendClient:
        """Return the client of a listed server, a new one if its address changed."""
        with self._lock:
            known = self._clients.get(listed.name)
            if known is not None and (known[0].ip, known[0].port) == (listed.ip, listed.port):
                return known[1]
            client = self._connect(listed)
            self._clients[listed.name] = (listed, client)
            return client

    def find(self, server: str) -> BackendClient:
        """Return the client of a server.

        Raises:
            BackendUnreachableError: If the server was never listed.
        """
        with self._lock:
            known = self._clients.get(server)
        if known is None:
            raise BackendUnreachableError(server, "not listed")
        return known[1]


class ServerIssues:
    """Reasons not to start new work on servers, by server and state."""

    def __init__(self) -> None:
        """Create a collection without issues."""
        self._by_server: dict[str, dict[str, ServerStatus]] = {}

    def add(self, status: ServerStatus) -> None:
        """Add a reason, unless the server already has one with the same state."""
        self._by_server.setdefault(status.server, {}).setdefault(status.state, status)

    def clear(self, server: str, state: str) -> None:
        """Remove the reason with the given state from a server."""
        reasons = self._by_server.get(server, {})
        reasons.pop(state, None)
        if not reasons:
            self._by_server.pop(server, None)

    def any(self, server: str) -> bool:
        """Return whether a server has any reason not to be used."""
        return server in self._by_server

    def all(self) -> tuple[ServerStatus, ...]:
        """Return all reasons, sorted by server."""
        rows = []
        for server in sorted(self._by_server):
            rows += self._by_server[server].values()
        return tuple(rows)
