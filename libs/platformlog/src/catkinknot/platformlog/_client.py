"""Talk with the platform's log service over HTTP."""

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
"""Wait this much longer for a read than the service was asked to hold it."""

_STATUS_OK = 200
_STATUS_GONE = 410


@dataclass(frozen=True)
class NewEntry:
    """Carry one record to be appended.

    Attributes:
        writer: Who appends it.
        seq: The writer's own number for it.
        data: The record as JSON text.
    """

    writer: str
    seq: int
    data: str


@dataclass(frozen=True)
class Page:
    """Carry what one read returned.

    Attributes:
        entries: The entries in order.
        first_offset: The oldest offset that the log still has.
        next_offset: The offset that the next append will get.
    """

    entries: tuple[Entry, ...]
    first_offset: int
    next_offset: int


class LogClient(Protocol):
    """Append to and read from an append-only log."""

    def append(self, batch: list[NewEntry]) -> int:
        """Append entries in order and return the first one's offset."""

    def read(self, start: int, *, limit: int, wait_s: float) -> Page:
        """Read entries from an offset on, waiting for the first one."""


class HttpLogClient:
    """Reach the log service at the first of its addresses that answers."""

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        """Prepare the connections.

        Args:
            addresses: Where the service listens, tried in turn.
        """
        self._addresses = addresses
        self._turn = itertools.count()
        self._lock = threading.Lock()
        self._current = addresses[next(self._turn) % len(addresses)]
        self._http = urllib3.PoolManager(maxsize=4, block=False, retries=False)

    def append(self, batch: list[NewEntry]) -> int:
        """Append entries in order.

        Args:
            batch: The entries.

        Returns:
            The first one's offset.

        Raises:
            LogUnavailableError: When there was no good answer.
        """
        records = [{"writer": e.writer, "seq": e.seq, "data": e.data} for e in batch]
        answer = self._ask("POST", "/v1/append", _APPEND_TIMEOUT_S, body={"records": records})
        try:
            return int(answer["first_offset"])
        except (KeyError, TypeError, ValueError):
            raise LogUnavailableError("the log service gave no offset", sent=True) from None

    def read(self, start: int, *, limit: int, wait_s: float) -> Page:
        """Read entries from an offset on.

        Args:
            start: The first offset wanted.
            limit: The most entries to return.
            wait_s: Seconds that the service holds the request open while
                there is nothing to return.

        Returns:
            The entries, perhaps none.

        Raises:
            OffsetExpiredError: When the log has dropped that offset.
            LogUnavailableError: When there was no good answer.
        """
        path = f"/v1/read?from={start}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        answer = self._ask("GET", path, wait_s + _READ_MARGIN_S)
        try:
            entries = tuple(
                Entry(row["offset"], row["at_s"], row["writer"], row["seq"], row["data"])
                for row in answer["records"]
            )
            return Page(entries, int(answer["first_offset"]), int(answer["next_offset"]))
        except (KeyError, TypeError, ValueError):
            raise LogUnavailableError("the log service gave no page", sent=True) from None

    def _ask(self, method: str, path: str, timeout_s: float, *, body: dict | None = None) -> dict:
        """Send one request.

        Args:
            method: The HTTP method.
            path: The path and query.
            timeout_s: Seconds to wait for the answer.
            body: What to send as JSON.

        Returns:
            The parsed answer.

        Raises:
            OffsetExpiredError: When the log has dropped that offset.
            LogUnavailableError: When there was no good answer.
        """
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s)
        url = f"http://{self._current}{path}"
        try:
            reply = self._http.request(method, url, json=body, timeout=timeout)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            self._try_next()
            raise LogUnavailableError("no connection to the log service", sent=False) from None
        except urllib3.exceptions.HTTPError as exc:
            self._try_next()
            reason = f"the log service did not answer: {type(exc).__name__}"
            raise LogUnavailableError(reason, sent=True) from None
        return self._parse(reply)

    def _parse(self, reply: urllib3.BaseHTTPResponse) -> dict:
        """Turn a reply into its JSON value.

        Args:
            reply: The HTTP reply.

        Returns:
            The parsed answer.

        Raises:
            OffsetExpiredError: When the log has dropped that offset.
            LogUnavailableError: When the answer is not a good one.
        """
        try:
            answer = json.loads(reply.data)
        except ValueError:
            raise LogUnavailableError("the log service sent no JSON", sent=True) from None
        if reply.status == _STATUS_GONE:
            raise OffsetExpiredError(int(answer["first_offset"]))
        if reply.status != _STATUS_OK:
            self._try_next()
            reason = f"the log service answered {reply.status}"
            raise LogUnavailableError(reason, sent=True)
        return answer

    def _try_next(self) -> None:
        """Use the next address from now on."""
        with self._lock:
            self._current = self._addresses[next(self._turn) % len(self._addresses)]
