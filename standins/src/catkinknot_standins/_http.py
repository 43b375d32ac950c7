"""Serve a stand-in over HTTP."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

from cheroot import wsgi

__all__ = ["Reply", "Request", "serve_json"]

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclass(frozen=True)
class Request:
    """Carry one request.

    Attributes:
        method: The HTTP method.
        path: The path.
        query: The query's values by name.
        body: The raw body.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Reply:
    """Carry one answer.

    Attributes:
        status: The HTTP status.
        body: JSON text in UTF-8.
    """

    status: int
    body: bytes

    @classmethod
    def of(cls, status: int, value) -> "Reply":
        """Build an answer from a JSON value."""
        return cls(status, json.dumps(value).encode())


def serve_json(
    ip: str, port: int, handle: Callable[[Request], Reply], *, threads: int = 8
) -> wsgi.Server:
    """Prepare an HTTP server; its `serve` runs until its `stop`.

    Args:
        ip: The IP number to listen on.
        port: The port.
        handle: Answers requests.
        threads: Requests answered at once.

    Returns:
        The server.
    """

    def app(environ, start_response):
        """Answer one WSGI request."""
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
