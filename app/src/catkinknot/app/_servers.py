"""Keep the clients of the backend servers, and why some are not in use."""

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
    """Connect to a listed backend server over HTTP."""
    return HttpBackendClient(listed.name, Address(listed.ip, listed.port))


class ClientPool:
    """Keep one client for each listed backend server."""

    def __init__(self, connect: Connect = connect_http) -> None:
        """Start with no servers.

        Args:
            connect: Builds a client.
        """
        self._connect = connect
        self._lock = threading.Lock()
        self._clients: dict[str, tuple[ListedInstance, BackendClient]] = {}

    def get_or_connect(self, listed: ListedInstance) -> BackendClient:
        """Return the client of a listed server, new when its address changed."""
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
            BackendUnreachableError: When the server was never listed.
        """
        with self._lock:
            known = self._clients.get(server)
        if known is None:
            raise BackendUnreachableError(server, "not listed")
        return known[1]


class ServerIssues:
    """Remember which servers are not in full use, and why."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_server: dict[str, dict[str, ServerStatus]] = {}

    def add(self, status: ServerStatus) -> None:
        """Add a reason; the first of its kind is kept."""
        self._by_server.setdefault(status.server, {}).setdefault(status.state, status)

    def clear(self, server: str, state: str) -> None:
        """Take a reason away."""
        reasons = self._by_server.get(server, {})
        reasons.pop(state, None)
        if not reasons:
            self._by_server.pop(server, None)

    def any(self, server: str) -> bool:
        """Tell whether there is any reason not to use a server."""
        return server in self._by_server

    def all(self) -> tuple[ServerStatus, ...]:
        """Return every reason, by server."""
        rows = []
        for server in sorted(self._by_server):
            rows += self._by_server[server].values()
        return tuple(rows)
