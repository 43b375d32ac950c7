"""Clients of the request API of a backend server."""

from typing import Any, Protocol, TypeVar

import urllib3

from catkinknot.model import Address, ResultCode, check_json, to_json
from catkinknot.model.exceptions import BadInputError

from ._protocol import (
    Ack,
    Claim,
    Extend,
    Granted,
    Poll,
    PollReply,
    Refusal,
    Release,
    Reserve,
    ServerState,
    Start,
    Stop,
    Throttle,
)
from .exceptions import BackendRefusedError, BackendUnreachableError

__all__ = ["BackendClient", "HttpBackendClient"]

_CONNECT_TIMEOUT_S = 0.5
_REQUEST_TIMEOUT_S = 1.0
_POLL_MARGIN_S = 1.0
_STATUS_OK = 200
_STATUS_CONFLICT = 409

T = TypeVar("T")


class BackendClient(Protocol):
    """Client of one backend server.

    Every request except `poll` is idempotent. Each raises
    `BackendRefusedError` if the request had no effect, and
    `BackendUnreachableError` if its effect is unknown.

    Attributes:
        server: The server's name.
    """

    server: str

    def claim(self, req: Claim) -> ServerState:
        """Request the lease on the server."""

    def poll(self, req: Poll) -> PollReply:
        """Renew the lease and wait for task changes."""

    def reserve(self, req: Reserve) -> Granted:
        """Reserve accelerators."""

    def start(self, req: Start) -> Granted:
        """Start a task."""

    def extend(self, req: Extend) -> Granted:
        """Extend the run time of tasks."""

    def release(self, req: Release) -> Granted:
        """Release a reservation that was not started."""

    def stop(self, req: Stop) -> Granted:
        """Stop a task."""

    def throttle(self, req: Throttle) -> Granted:
        """Limit the speed of a task."""

    def ack(self, req: Ack) -> Granted:
        """Acknowledge ended tasks, so that the server can forget them."""


class HttpBackendClient:
    """Client that sends JSON requests to a backend server over HTTP."""

    def __init__(self, server: str, address: Address) -> None:
        """Create the connection pool.

        Args:
            server: The server's name.
            address: Address that the server listens on.
        """
        self.server = server
        self._base = f"http://{address}/v1/"
        self._http = urllib3.PoolManager(maxsize=6, block=False, retries=False)

    def claim(self, req: Claim) -> ServerState:
        """Request the lease on the server.

        Args:
            req: The holder, its epoch and the lease's duration.

        Returns:
            The tasks and reservations on the server.
        """
        return self._post("claim", req, ServerState)

    def poll(self, req: Poll) -> PollReply:
        """Renew the lease and wait for task changes.

        Args:
            req: The holder, its epoch and the newest event that it has seen.

        Returns:
            The changed tasks; empty if none changed within the wait.
        """
        return self._post("poll", req, PollReply, timeout_s=req.wait_s + _POLL_MARGIN_S)

    def reserve(self, req: Reserve) -> Granted:
        """Reserve accelerators."""
        return self._post("reserve", req, Granted)

    def start(self, req: Start) -> Granted:
        """Start a task."""
        return self._post("start", req, Granted)

    def extend(self, req: Extend) -> Granted:
        """Extend the run time of tasks."""
        return self._post("extend", req, Granted)

    def release(self, req: Release) -> Granted:
        """Release a reservation that was not started."""
        return self._post("release", req, Granted)

    def stop(self, req: Stop) -> Granted:
        """Stop a task."""
        return self._post("stop", req, Granted)

    def throttle(self, req: Throttle) -> Granted:
        """Limit the speed of a task."""
        return self._post("throttle", req, Granted)

    def ack(self, req: Ack) -> Granted:
        """Acknowledge ended tasks, so that the server can forget them."""
        return self._post("ack", req, Granted)

    def _post(
        self, verb: str, req: Any, reply: type[T], *, timeout_s: float = _REQUEST_TIMEOUT_S
    ) -> T:
        """Send one request and parse its response.

        Args:
            verb: The last segment of the URL path.
            req: The request, sent as JSON.
            reply: The type of the response.
            timeout_s: Read timeout in seconds.

        Returns:
            The parsed response.

        Raises:
            BackendRefusedError: If the request had no effect.
            BackendUnreachableError: If its effect is unknown.
        """
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s)
        headers = {"Content-Type": "application/json"}
        try:
            raw = self._http.request(
                "POST", self._base + verb, body=to_json(req), headers=headers, timeout=timeout
            )
        except urllib3.exceptions.HTTPError as exc:
            raise BackendUnreachableError(self.server, type(exc).__name__) from None
        return self._parse(raw, reply)

    def _parse(self, raw: urllib3.BaseHTTPResponse, reply: type[T]) -> T:
        """Return the parsed response, or raise the matching error."""
        try:
            if raw.status == _STATUS_OK:
                return check_json(reply, raw.data, code=ResultCode.INTERNAL)
            if raw.status == _STATUS_CONFLICT:
                refusal = check_json(Refusal, raw.data, code=ResultCode.INTERNAL)
                raise BackendRefusedError(self.server, refusal.reason)
        except BadInputError as exc:
            raise BackendUnreachableError(self.server, f"invalid response: {exc}") from None
        raise BackendUnreachableError(self.server, f"unexpected HTTP status {raw.status}")
