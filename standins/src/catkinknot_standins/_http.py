"""HTTP server of an emulator."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

from cheroot import wsgi

__all__ = ["Reply", "Request", "serve_json"]

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclass(frozen=True)
class Request:
    """HTTP request.

    Attributes:
        method: HTTP method.
        path: Path of the URL.
        query: Values of the query string by name.
        body: Raw body.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Reply:
    """HTTP response.

    Attributes:
        status: HTTP status.
        body: JSON text in UTF-8.
    """

    status: int
    body: bytes

    @classmethod
    def of(cls, status: int, value) -> "Reply":
        """Build a response from a JSON value."""
        return cls(status, json.dumps(value).encode())


def serve_json(
    ip: str, port: int, handle: Callable[[Request], Reply], *, threads: int = 8
) -> wsgi.Server:
    """Create an HTTP server; its `serve` runs until its `stop` is called.

    Args:
        ip: IP address to listen on.
        port: Port to listen on.
        handle: Request handler.
        threads: Requests handled concurrently.

    Returns:
        The server.
    """

    def app(environ, start_response):
        """Answer a WSGI request."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        query = {name: values[-1] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read(length)
        req = Request(environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body)
        reply = handle(req)
        status = f"{reply.status} {_REASONS.get(reply.status, 'Error')}"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(status, headers)
        return [reply.body]

    return wsgi.Server((ip, port), app, numthreads=threads, max=threads * 4, request_queue_size=64)
