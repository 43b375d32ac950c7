"""Stand-in for the platform's store: a log with keyed topics, as `PROTOCOL.md` describes it."""

import base64
import json
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

APPEND_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
MAX_QUEUE_S = 2.0
REMEMBERED_APPENDS = 5


class Handler(BaseHTTPRequestHandler):
    """HTTP/1.1 handler that writes no log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        """Write nothing."""

    def body(self) -> bytes:
        """Read the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status: int, body: dict | bytes) -> None:
        """Send a response."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        kind = "application/octet-stream" if isinstance(body, bytes) else "application/json"
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)


class Server(ThreadingHTTPServer):
    """HTTP server on a free loopback port."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, handler: type[Handler], host: str = "127.0.0.1") -> None:
        """Listen, and serve on a thread."""
        super().__init__((host, 0), handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address as ``ip:port``."""
        return f"{self.server_address[0]}:{self.server_address[1]}"

    def handle_error(self, *_: object) -> None:
        """Write nothing about a connection that broke."""


@dataclass
class Producer:
    """Fence and sequence of one producer in one partition."""

    epoch: int = -1
    next_number: int = 0
    answers: dict[int, dict] = field(default_factory=dict)


@dataclass
class Partition:
    """One partition of a topic."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, Producer] = field(default_factory=dict)
    turn: threading.Lock = field(default_factory=threading.Lock)
    free_at_s: float = 0.0


class Store:
    """The store; every instance reaches it at one address.

    Attributes:
        slow_by: Factor by which every answer takes longer.
        on_append: Called with topic, key and value of each stored record.
    """

    def __init__(self, on_append: Callable[[str, str, bytes], None] = lambda *_: None) -> None:
        """Start an empty store."""
        self.slow_by = 1.0
        self.on_append = on_append
        self._lock = threading.Condition()
        self._parts: dict[tuple[str, int], Partition] = {}
        store = self

        class StoreHandler(Handler):
            def do_POST(self) -> None:
                raw = self.body()
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if url.path == "/v1/log-append":
                    self.reply(*store.append(query, raw))
                else:
                    self.reply(404, {})

            def do_GET(self) -> None:
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if url.path == "/v1/log-read":
                    self.reply(*store.read(query))
                elif url.path == "/v1/log-newest":
                    self.reply(*store.newest(query))
                else:
                    self.reply(404, {})

        self.server = Server(StoreHandler)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or a worker."""
        with self._lock:
            self._add(topic, self._part(topic, 0), [_content(key, value)])

    def append(self, query: dict[str, str], raw: bytes) -> tuple[int, dict]:
        """Append the records of a call; a partition does one append at a time."""
        records = _split(raw)
        if len(raw) > CALL_BYTES or any(len(record) > RECORD_BYTES for record in records):
            return 400, {"reason": "size"}
        part = self._part(query["topic"], int(query["part"]))
        takes_s = APPEND_S * self.slow_by
        now_s = time.monotonic()
        with self._lock:
            if part.free_at_s - now_s > MAX_QUEUE_S:
                return 503, {}
            part.free_at_s = max(part.free_at_s, now_s) + takes_s
        with part.turn:
            time.sleep(takes_s)
            with self._lock:
                return self._append(query, part, records)

    def _append(self, query: dict[str, str], part: Partition, records: list) -> tuple[int, dict]:
        """Append records if the conditions of the call hold."""
        producer, number = None, 0
        epoch = int(query.get("epoch", 0))
        if "producer" in query:
            producer = part.producers.setdefault(query["producer"], Producer())
            number = int(query["seq-no"])
            if epoch < producer.epoch:
                return 409, {"reason": "fenced"}
            if epoch == producer.epoch and number != producer.next_number:
                if number in producer.answers:
                    return 200, producer.answers[number]
                return 409, {"reason": "seq", "seq-no": producer.next_number}
        if "as-of" in query and int(query["as-of"]) != len(part.records):
            return 412, {"end": len(part.records)}
        answer = {"offset": len(part.records)}
        self._add(query["topic"], part, records)
        answer["end"] = len(part.records)
        if producer is not None:
            if epoch > producer.epoch:
                producer.answers.clear()
            producer.epoch, producer.next_number = epoch, number + 1
            producer.answers[number] = answer
            while len(producer.answers) > REMEMBERED_APPENDS:
                del producer.answers[min(producer.answers)]
        return 200, answer

    def read(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return records from an offset on."""
        time.sleep(APPEND_S * self.slow_by)
        part = self._part(query["topic"], int(query["part"]))
        with self._lock:
            end = len(part.records)
            chunks, size = [struct.pack(">QQ", end, 0)], 0
            for record in part.records[int(query["from"]) :]:
                chunks.append(struct.pack(">I", len(record)) + record)
                size += len(record)
                if size > PAGE_BYTES:
                    break
        return 200, b"".join(chunks)

    def newest(self, query: dict[str, str]) -> tuple[int, dict]:
        """Return a page of the newest record of each key."""
        time.sleep(APPEND_S * self.slow_by)
        part = self._part(query["topic"], int(query["part"]))
        items, size, more = [], 0, False
        with self._lock:
            for key in sorted(k for k in part.newest if k > query.get("after", "")):
                if len(items) >= PAGE_RECORDS or size > PAGE_BYTES:
                    more = True
                    break
                offset, value = part.newest[key]
                size += len(value)
                text = base64.b64encode(value).decode()
                items.append({"key": key, "value": text, "offset": offset})
            return 200, {"items": items, "more": more, "end": len(part.records)}

    def _part(self, topic: str, number: int) -> Partition:
        """Return a partition, which is created on first use."""
        with self._lock:
            return self._parts.setdefault((topic, number), Partition())

    def _add(self, topic: str, part: Partition, records: list[bytes]) -> None:
        """Add records at the end; the caller holds the lock."""
        for record in records:
            part.records.append(record)
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            part.newest.pop(key, None)
            if value:
                part.newest[key] = (len(part.records) - 1, value)
            self.on_append(topic, key, value)


def _content(key: str, value: bytes) -> bytes:
    """Return the content of a record of a keyed topic."""
    return bytes([len(key)]) + key.encode() + value


def _split(raw: bytes) -> list[bytes]:
    """Split the body of an append into its records."""
    records, at = [], 0
    while at < len(raw):
        (length,) = struct.unpack_from(">I", raw, at)
        records.append(raw[at + 4 : at + 4 + length])
        at += 4 + length
    return records
