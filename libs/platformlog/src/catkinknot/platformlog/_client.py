"""Client of the platform's log service."""

import itertools
import json
import threading
from dataclasses import dataclass
from typing import Protocol

import urllib3

from catkinknot.model import Address

from ._records import Entry
from .exceptions import LogUnavailableError, OffsetExpiredError

__all__ = ["HttpLogClient", "LogClient", "NewEntry", "Page"]

_CONNECT_TIMEOUT_S = 1.0
_APPEND_TIMEOUT_S = 3.0
_READ_MARGIN_S = 3.0
"""Read timeout beyond the time that the service may hold a read open."""

_STATUS_OK = 200
_STATUS_GONE = 410


@dataclass(frozen=True)
class NewEntry:
    """Record to be appended.

    Attributes:
        writer: The name of the writer.
        seq: The writer's sequence number of the record.
        data: The record as JSON text.
    """

    writer: str
    seq: int
    data: str


@dataclass(frozen=True)
class Page:
    """Result of one read.

    Attributes:
        entries: The entries in log order.
        first_offset: The oldest offset that the log retains.
        next_offset: The offset of the next entry to be appended.
    """

    entries: tuple[Entry, ...]
    first_offset: int
    next_offset: int


class LogClient(Protocol):
    """Client of an append-only log."""

    def append(self, batch: list[NewEntry]) -> int:
        """Append entries in order and return the offset of the first one."""

    def read(self, start: int, *, limit: int, wait_s: float) -> Page:
        """Read entries from an offset on, waiting for the first if there is none."""


class HttpLogClient:
    """HTTP client of the log service that uses the next address after a failed request."""

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        """Create the connection pool.

        Args:
            addresses: The addresses of the service, tried in turn.
        """
        self._addresses = addresses
        self._address_counter = itertools.count()
        self._lock = threading.Lock()
        self._current_address = addresses[next(self._address_counter) % len(addresses)]
        self._http = urllib3.PoolManager(maxsize=4, block=False, retries=False)

    def append(self, batch: list[NewEntry]) -> int:
        """Append entries in order.

        Args:
            batch: The entries.

        Returns:
            The offset of the first entry.

        Raises:
            LogUnavailableError: If there was no valid response.
        """
        records = [{"writer": e.writer, "seq": e.seq, "data": e.data} for e in batch]
        response = self._request("POST", "/v1/append", _APPEND_TIMEOUT_S, body={"records": records})
        try:
            return int(response["first_offset"])
        except (KeyError, TypeError, ValueError):
            raise LogUnavailableError(
                "the log service returned no valid offset", sent=True
            ) from None

    def read(self, start: int, *, limit: int, wait_s: float) -> Page:
        """Read entries from an offset on.

        Args:
            start: The offset of the first entry.
            limit: The maximum number of entries.
            wait_s: Seconds that the service holds the request open while
                there are no entries.

        Returns:
            The entries, which may be none, and the range of the log.

        Raises:
            OffsetExpiredError: If the log no longer retains `start`.
            LogUnavailableError: If there was no valid response.
        """
        path = f"/v1/read?from={start}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        response = self._request("GET", path, wait_s + _READ_MARGIN_S)
        try:
            entries = tuple(
                Entry(row["offset"], row["at_s"], row["writer"], row["seq"], row["data"])
                for row in response["records"]
            )
            return Page(entries, int(response["first_offset"]), int(response["next_offset"]))
        except (KeyError, TypeError, ValueError):
            raise LogUnavailableError("the log service returned no valid page", sent=True) from None

    def _request(
        self, method: str, path: str, timeout_s: float, *, body: dict | None = None
    ) -> dict:
        """Send one request to the current address.

        Args:
            method: The HTTP method.
            path: The path and query.
            timeout_s: The read timeout in seconds.
            body: The JSON body, None for none.

        Returns:
            The parsed response.

        Raises:
            OffsetExpiredError: If the log no longer retains the offset.
            LogUnavailableError: If there was no valid response.
        """
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s)
        url = f"http://{self._current_address}{path}"
        try:
            reply = self._http.request(method, url, json=body, timeout=timeout)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            self._switch_address()
            raise LogUnavailableError("could not connect to the log service", sent=False) from None
        except urllib3.exceptions.HTTPError as exc:
            self._switch_address()
            reason = f"the log service did not respond: {type(exc).__name__}"
            raise LogUnavailableError(reason, sent=True) from None
        return self._parse(reply)

    def _parse(self, reply: urllib3.BaseHTTPResponse) -> dict:
        """Parse the JSON body of a response.

        Args:
            reply: The HTTP response.

        Returns:
            The parsed body.

        Raises:
            OffsetExpiredError: If the log no longer retains the offset.
            LogUnavailableError: If the response is not valid.
        """
        try:
            response = json.loads(reply.data)
        except ValueError:
            raise LogUnavailableError("the log service returned no valid JSON", sent=True) from None
        if reply.status == _STATUS_GONE:
            raise OffsetExpiredError(int(response["first_offset"]))
        if reply.status != _STATUS_OK:
            self._switch_address()
            reason = f"the log service returned HTTP status {reply.status}"
            raise LogUnavailableError(reason, sent=True)
        return response

    def _switch_address(self) -> None:
        """Send the following requests to the next address."""
        with self._lock:
            self._current_address = self._addresses[
                next(self._address_counter) % len(self._addresses)
            ]
