"""HTTP client of an instance, for the command line."""

import json
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import urllib3

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError, CatkinknotError, UnreachableError

__all__ = ["InstanceClient"]

_REQUEST_TIMEOUT_S = 40.0
_FIRST_ERROR_STATUS = 400


class InstanceClient:
    """Client that sends requests to one instance, or to a load balancer in front of several."""

    def __init__(self, at: str, *, token_file: str = "") -> None:
        """Create the client; a connection is opened by the first request.

        Args:
            at: The address of the instance, ``ip:port`` or a whole URL.
            token_file: A file with the operators' token.
        """
        self._base = at if "://" in at else f"http://{at}"
        self._headers = {"Content-Type": "application/json"}
        if token_file:
            self._headers["Authorization"] = f"Bearer {_read(token_file).strip()}"
        self._http = urllib3.PoolManager(retries=False)

    def get(self, path: str, **query: Any) -> Any:
        """Read a resource and return its JSON value."""
        return self._request("GET", path, query=query)

    def post(self, path: str, body: Any = None, **query: Any) -> Any:
        """Post a JSON value and return the JSON value of the answer."""
        return self._request("POST", path, query=query, body=json.dumps(body).encode())

    def delete(self, path: str) -> Any:
        """Delete a resource and return the JSON value of the answer."""
        return self._request("DELETE", path)

    def text(self, path: str, **query: Any) -> str:
        """Read a resource as text."""
        return self._send("GET", path, query=query).data.decode()

    def _request(
        self, method: str, path: str, *, query: dict | None = None, body: bytes | None = None
    ) -> Any:
        """Send a request and return the JSON value of its answer.

        Raises:
            CatkinknotError: When the answer is an error.
            UnreachableError: When there is no answer, or no JSON in it.
        """
        reply = self._send(method, path, query=query, body=body)
        try:
            value = json.loads(reply.data)
        except ValueError:
            raise UnreachableError(f"{self._base} answered {reply.status} without JSON") from None
        is_outcome = isinstance(value, dict) and "workspace" in value
        if reply.status >= _FIRST_ERROR_STATUS and not is_outcome:
            raise _to_error(value)
        return value

    def _send(
        self, method: str, path: str, *, query: dict | None = None, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the reply."""
        fields = {name: str(value) for name, value in (query or {}).items()}
        url = f"{self._base}{path}"
        if fields:
            url += "?" + urlencode(fields)
        try:
            return self._http.request(
                method, url, body=body, headers=self._headers, timeout=_REQUEST_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as exc:
            raise UnreachableError(f"{self._base}: {type(exc).__name__}") from None


def _to_error(value: Any) -> CatkinknotError:
    """Return the exception that stands for an error reply."""
    code = ResultCode(value.get("code", int(ResultCode.INTERNAL)))
    if value.get("faults"):
        return BadInputError(code, value["faults"])
    return CatkinknotError(value.get("message", ""), code=code)


def _read(path: str) -> str:
    """Return the text of a file that the user named."""
    try:
        return Path(path).read_text()
    except OSError as exc:
        raise BadInputError(ResultCode.BAD_USAGE, [f"{path}: {exc.strerror}"]) from None
