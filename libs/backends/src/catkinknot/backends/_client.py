"""Send requests to one backend server."""

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
_TIMEOUT_S = 1.0
_POLL_MARGIN_S = 1.0
_STATUS_OK = 200
_STATUS_CONFLICT = 409

T = TypeVar("T")


class BackendClient(Protocol):
    """Send requests to one backend server.

    Every request but `poll` may be sent twice without harm. Each raises
    `BackendRefusedError` when nothing happened, `BackendUnreachableError`
    when nobody knows.
    """

    server: str

    def claim(self, req: Claim) -> ServerState:
        """Ask for the lease on the server."""

    def poll(self, req: Poll) -> PollReply:
        """Renew the lease and wait for news."""

    def reserve(self, req: Reserve) -> Granted:
        """Reserve accelerators."""

    def start(self, req: Start) -> Granted:
        """Start a task."""

    def extend(self, req: Extend) -> Granted:
        """Let tasks run on."""

    def release(self, req: Release) -> Granted:
        """Give up a reservation."""

    def stop(self, req: Stop) -> Granted:
        """Stop a task."""

    def throttle(self, req: Throttle) -> Granted:
        """Slow a task down."""

    def ack(self, req: Ack) -> Granted:
        """Let ended tasks be forgotten."""


class HttpBackendClient:
    """Send requests to a backend server over HTTP with JSON bodies."""

    def __init__(self, server: str, address: Address) -> None:
        """Prepare the connections.

        Args:
            server: The server's name.
            address: Where it listens.
        """
        self.server = server
        self._base = f"http://{address}/v1/"
        self._http = urllib3.PoolManager(maxsize=6, block=False, retries=False)

    def claim(self, req: Claim) -> ServerState:
        """Ask for the lease on the server.

        Args:
            req: Who asks.

        Returns:
            Everything that the server holds.
        """
        return self._ask("claim", req, ServerState)

    def poll(self, req: Poll) -> PollReply:
        """Renew the lease and wait for news.

        Args:
            req: Who asks, and what it knows.

        Returns:
            The news, perhaps none.
        """
        return self._ask("poll", req, PollReply, timeout_s=req.wait_s + _POLL_MARGIN_S)

    def reserve(self, req: Reserve) -> Granted:
        """Reserve accelerators."""
        return self._ask("reserve", req, Granted)

    def start(self, req: Start) -> Granted:
        """Start a task."""
        return self._ask("start", req, Granted)

    def extend(self, req: Extend) -> Granted:
        """Let tasks run on."""
        return self._ask("extend", req, Granted)

    def release(self, req: Release) -> Granted:
        """Give up a reservation."""
        return self._ask("release", req, Granted)

    def stop(self, req: Stop) -> Granted:
        """Stop a task."""
        return self._ask("stop", req, Granted)

    def throttle(self, req: Throttle) -> Granted:
        """Slow a task down."""
        return self._ask("throttle", req, Granted)

    def ack(self, req: Ack) -> Granted:
        """Let ended tasks be forgotten."""
        return self._ask("ack", req, Granted)

    def _ask(self, verb: str, req: Any, reply: type[T], *, timeout_s: float = _TIMEOUT_S) -> T:
        """Send one request.

        Args:
            verb: The last part of the path.
            req: What to send.
            reply: What to expect.
            timeout_s: Seconds to wait for the answer.

        Returns:
            The answer.

        Raises:
            BackendRefusedError: When nothing happened.
            BackendUnreachableError: When nobody knows.
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
        """Turn a reply into a data class or an error."""
        try:
            if raw.status == _STATUS_OK:
                return check_json(reply, raw.data, code=ResultCode.INTERNAL)
            if raw.status == _STATUS_CONFLICT:
                refusal = check_json(Refusal, raw.data, code=ResultCode.INTERNAL)
                raise BackendRefusedError(self.server, refusal.reason)
        except BadInputError as exc:
            raise BackendUnreachableError(self.server, f"bad answer: {exc}") from None
        raise BackendUnreachableError(self.server, f"answered {raw.status}")
