"""HTTP applications of the emulators, with the platform's paths and fields."""

import base64
import json
import struct
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager, contextmanager
from urllib.parse import parse_qs

from cheroot import wsgi

from catkinknot.coordination import Fence, OrderOutcome, Record, StartOrder, StopOrder
from catkinknot.coordination.exceptions import (
    FencedError,
    HistoryGoneError,
    MovedError,
    OutOfSequenceError,
    StoreRefusedError,
    StoreSilentError,
)

from ._keyed_store import KeyedStore, StoreView
from ._task_server import TaskServer

__all__ = ["open_http", "server_app", "server_record", "store_app"]

PAGE_RECORD_COUNT = 500
POLL_INTERVAL_S = 0.01
_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_REASONS = {
    OrderOutcome.FENCED: "fence",
    OrderOutcome.OLD_RUN: "old",
    OrderOutcome.TOO_LATE: "late",
    OrderOutcome.NO_ROOM: "room",
}


@contextmanager
def open_http(app: Callable, host: str = "127.0.0.1", port: int = 0, *, threads: int = 32):
    """Serve an application until the context closes, and yield its address.

    Args:
        app: WSGI application.
        host: IP address to listen on.
        port: Port to listen on, 0 for a free one.
        threads: Requests handled concurrently.
    """
    server = wsgi.Server((host, port), app, numthreads=threads, shutdown_timeout=0.2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield f"{host}:{server.bind_addr[1]}"
    finally:
        server.stop()
        thread.join(timeout=1.0)


def _answer(start_response: Callable, status: str, body: dict | bytes) -> Iterable[bytes]:
    """Send a response; a dictionary is sent as JSON."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    start_response(status, [("Content-Length", str(len(raw)))])
    return [raw]


def _send_truncated(start_response: Callable) -> Iterable[bytes]:
    """Close the connection in the middle of a response."""
    start_response("200 OK", [("Content-Length", "1000"), ("Connection", "close")])
    return [b""]


def store_app(
    store: KeyedStore, view: StoreView | None = None, lock: AbstractContextManager | None = None
) -> Callable:
    """Return a WSGI application that serves the store.

    Args:
        store: The store.
        view: View whose faults apply to all callers of this application.
        lock: Held while the store is used; all applications of one store share it.
    """
    lock = lock or threading.Lock()
    view = view or StoreView(store)

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        try:
            match environ["PATH_INFO"]:
                case "/v1/log-append":
                    with lock:
                        return _append(view, store, query, body, start_response)
                case "/v1/log-read":
                    return _read(view, store, query, start_response, lock)
                case "/v1/log-newest":
                    with lock:
                        return _newest(view, query, start_response)
        except StoreSilentError:
            return _send_truncated(start_response)
        except StoreRefusedError:
            return _answer(start_response, "503 Refused", {})
        return _answer(start_response, "404 Not Found", {})

    return app


def _append(
    view: StoreView, store: KeyedStore, query: dict[str, str], body: bytes, start_response: Callable
) -> Iterable[bytes]:
    """Append the records of a request."""
    fence = None
    if "producer" in query:
        fence = Fence(query["producer"], int(query["epoch"]), int(query["seq-no"]))
    only_at = int(query["as-of"]) if "as-of" in query else None
    try:
        offset = view.append(query["topic"], _decode_records(body), fence=fence, only_at=only_at)
    except FencedError:
        return _answer(start_response, "409 Conflict", {"reason": "fenced"})
    except OutOfSequenceError as exc:
        return _answer(start_response, "409 Conflict", {"reason": "seq", "seq-no": exc.expected})
    except MovedError:
        end = store.topic(query["topic"]).end
        return _answer(start_response, "412 Precondition Failed", {"end": end})
    return _answer(
        start_response, "200 OK", {"offset": offset, "end": store.topic(query["topic"]).end}
    )


def _decode_records(raw: bytes) -> list[Record]:
    """Decode the records of an append."""
    records = []
    at = 0
    while at < len(raw):
        (length,) = _RECORD_LENGTH.unpack_from(raw, at)
        content = raw[at + 4 : at + 4 + length]
        at += 4 + length
        key_length = content[0]
        records.append(Record(content[1 : 1 + key_length].decode(), content[1 + key_length :]))
    return records


def _read(
    view: StoreView, store: KeyedStore, query: dict[str, str], start_response: Callable, lock
) -> Iterable[bytes]:
    """Read records, waiting up to `wait-ms` for the first."""
    end_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
    while True:
        try:
            with lock:
                batch = view.read(query["topic"], int(query["from"]))
                topic = store.topic(query["topic"])
                header = _READ_HEADER.pack(topic.end, topic.first)
        except HistoryGoneError:
            return _answer(start_response, "410 Gone", {"first": store.topic(query["topic"]).first})
        if batch.records or time.monotonic() >= end_s:
            break
        time.sleep(POLL_INTERVAL_S)
    parts = [header]
    for record in batch.records:
        key = record.key.encode()
        content = bytes([len(key)]) + key + record.value
        parts.append(_RECORD_LENGTH.pack(len(content)) + content)
    return _answer(start_response, "200 OK", b"".join(parts))


def _newest(view: StoreView, query: dict[str, str], start_response: Callable) -> Iterable[bytes]:
    """Return a page of the newest record of each key."""
    snapshot = view.newest(query["topic"])
    after = query.get("after", "")
    keys = sorted(key for key in snapshot.records if key > after)
    items = [
        {"key": key, "value": base64.b64encode(snapshot.records[key]).decode(), "offset": 0}
        for key in keys[:PAGE_RECORD_COUNT]
    ]
    page = {"items": items, "more": len(keys) > PAGE_RECORD_COUNT, "end": snapshot.next_offset}
    return _answer(start_response, "200 OK", page)


def server_record(server: TaskServer, address: str) -> Record:
    """Return the record that a server publishes about itself in the store."""
    listing = server.listing
    capacity = {
        "cpu": listing.capacity.cpu_milli,
        "mem-mb": listing.capacity.memory_mb,
        "gpu": listing.capacity.accelerators,
    }
    body = {
        "service": listing.service,
        "address": address,
        "zone": listing.zone,
        "version": "v1",
        "slots": 8,
        "state": "draining" if listing.draining else "ready",
        "seq-no": 1,
        "cold-remaining-ms": 0,
        "born": listing.started_at_ms,
        "capacity": capacity,
        "labels": ["kind", listing.rack],
        "remaining-ms": listing.remaining_ms,
        "clock-ms": server.now_ms(),
    }
    return Record(listing.id, json.dumps(body).encode())


def server_app(server: TaskServer, lock: AbstractContextManager | None = None) -> Callable:
    """Return a WSGI application that serves a backend server.

    Args:
        server: The emulated server.
        lock: Held while the server is used.
    """
    lock = lock or threading.Lock()

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"{}")
        if environ.get("HTTP_X_EXPECT_INSTANCE", server.listing.id) != server.listing.id:
            return _answer(start_response, "421 Misdirected Request", {})
        token = int(body.get("fencing-token", 0))
        if environ["PATH_INFO"] == "/v1/hold":
            return _hold(server, body, token, start_response, lock)
        if environ["PATH_INFO"] == "/v1/run-start":
            order = StartOrder(
                body["task"],
                body["run"],
                body["spec"],
                body["until-ms"],
                token,
                body.get("last-checkpoint", ""),
            )
        else:
            order = StopOrder(body["task"], body["run"], token)
        with lock:
            reply = server.order(order)
        if reply.outcome is OrderOutcome.NO_ANSWER:
            return _send_truncated(start_response)
        fields = {"clock-ms": server.now_ms()}
        if reply.started_at_ms:
            fields["born"] = reply.started_at_ms
        if reply.outcome is OrderOutcome.DONE:
            return _answer(start_response, "200 OK", fields)
        return _answer(start_response, "409 Conflict", fields | {"reason": _REASONS[reply.outcome]})

    return app


def _hold(
    server: TaskServer, body: dict, token: int, start_response: Callable, lock
) -> Iterable[bytes]:
    """Renew the lease, waiting up to `wait-ms` for a run to end."""
    end_s = time.monotonic() + int(body.get("wait-ms", 0)) / 1000
    while True:
        with lock:
            answer = server.hold(token, int(body.get("ack-cursor", 0)), body.get("until-ms", 0))
        if answer.reply.outcome is not OrderOutcome.DONE:
            break
        if answer.ended or time.monotonic() >= end_s:
            break
        time.sleep(POLL_INTERVAL_S)
    match answer.reply.outcome:
        case OrderOutcome.NO_ANSWER:
            return _send_truncated(start_response)
        case OrderOutcome.FENCED:
            return _answer(
                start_response, "409 Conflict", {"reason": "fence", "clock-ms": server.now_ms()}
            )
    fields = {
        "clock-ms": server.now_ms(),
        "born": server.listing.started_at_ms,
        "running-tasks": [
            [row.task, row.run, row.checkpoint, row.percent, row.load_metric]
            for row in answer.running
        ],
        "ended": [
            [row.number, row.task, row.run, row.how.value, row.checkpoint] for row in answer.ended
        ],
    }
    return _answer(start_response, "200 OK", fields)
