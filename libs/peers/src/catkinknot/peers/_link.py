"""Connection to one other instance, with its own thread."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any

import zmq

from catkinknot.model import Clock, ResultCode, SystemClock, check_json, to_json
from catkinknot.model.exceptions import BadInputError, UnreachableError

from ._codec import Codec, Header
from ._keys import PeerKeys
from ._wakeup import Outbox

__all__ = ["PeerLink"]

_POLL_INTERVAL_MS = 250
_HIGH_WATER_MESSAGE_COUNT = 1000
MAX_MESSAGE_BYTES = 32 * 2**20
_PING_INTERVAL_MS = 2000
_PING_TIMEOUT_MS = 6000
_MIN_RECONNECT_INTERVAL_MS = 100
_MAX_RECONNECT_INTERVAL_MS = 1000


@dataclass
class _Outgoing:
    """Message to be sent, or request that waits for its response.

    Attributes:
        message: The message, None to only wake the thread.
        fut: The future for the response, None if none is expected.
        until_s: Clock time when the request times out, in seconds.
    """

    message: Any
    fut: Future | None
    until_s: float = field(default=0.0)


class PeerLink:
    """Connection that sends requests to one other instance and matches the responses."""

    def __init__(
        self,
        sender: str,
        peer: str,
        address: str,
        codec: Codec,
        *,
        context: zmq.Context,
        keys: PeerKeys | None = None,
        stamp: Any = None,
        clock: Clock | None = None,
        on_disconnect: Callable[[str], None] = lambda peer: None,
    ) -> None:
        """Start the thread that owns the connection.

        Args:
            sender: This instance.
            peer: The other instance.
            address: The other instance's ``ip:port``.
            codec: Encodes and decodes the messages.
            context: The ZMQ context.
            keys: The deployment's keys, None for no encryption.
            stamp: Logical clock with `tick` and `observe`, None for messages
                without a logical time.
            clock: The clock of the timeouts, by default the system's.
            on_disconnect: Called with the peer when the connection is lost.
        """
        self._on_disconnect = on_disconnect
        self.peer = peer
        self.address = address
        self._sender = sender
        self._codec = codec
        self._context = context
        self._keys = keys
        self._stamp = stamp
        self._clock = clock or SystemClock()
        self._outbox: Outbox[_Outgoing] = Outbox()
        self._pending: dict[int, _Outgoing] = {}
        self._last_number = 0
        self._closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self._thread = threading.Thread(target=self._run, name=f"peer-{peer}", daemon=True)
        self._thread.start()

    def ask(self, message: Any, timeout_s: float) -> Future:
        """Send a request.

        Args:
            message: The request.
            timeout_s: Seconds to wait for the response.

        Returns:
            A future for the response; it fails with `UnreachableError`.
        """
        fut: Future = Future()
        self._outbox.put(_Outgoing(message, fut, self._clock.now() + timeout_s))
        return fut

    def notify(self, message: Any) -> None:
        """Send a message without a response."""
        self._outbox.put(_Outgoing(message, None))

    def close(self) -> None:
        """Stop the thread and fail all pending requests."""
        self._closed = True
        self._outbox.put(_Outgoing(None, None))
        self._thread.join(timeout=2.0)

    def _run(self) -> None:
        """Send and receive until closed."""
        sock = self._connect()
        monitor = sock.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        poller = zmq.Poller()
        poller.register(sock, zmq.POLLIN)
        poller.register(monitor, zmq.POLLIN)
        poller.register(self._outbox.fileno(), zmq.POLLIN)
        try:
            while not self._closed:
                ready = dict(poller.poll(_POLL_INTERVAL_MS))
                for outgoing in self._outbox.drain():
                    self._send(sock, outgoing)
                if sock in ready:
                    self._receive_all(sock)
                if monitor in ready:
                    monitor.recv_multipart()
                    self._fail_all("the connection was lost")
                    self._on_disconnect(self.peer)
                self._fail_expired()
        finally:
            sock.disable_monitor()
            monitor.close(linger=0)
            sock.close(linger=0)
            for outgoing in [*self._pending.values(), *self._outbox.drain()]:
                self._fail(outgoing, "the connection was closed")
            self._outbox.close()

    def _connect(self) -> zmq.Socket:
        """Open the socket, which reconnects automatically."""
        sock = self._context.socket(zmq.DEALER)
        sock.linger = 0
        sock.sndhwm = _HIGH_WATER_MESSAGE_COUNT
        sock.rcvhwm = _HIGH_WATER_MESSAGE_COUNT
        sock.maxmsgsize = MAX_MESSAGE_BYTES
        sock.immediate = True
        sock.heartbeat_ivl = _PING_INTERVAL_MS
        sock.heartbeat_timeout = _PING_TIMEOUT_MS
        sock.reconnect_ivl = _MIN_RECONNECT_INTERVAL_MS
        sock.reconnect_ivl_max = _MAX_RECONNECT_INTERVAL_MS
        if self._keys is not None:
            self._keys.secure(sock, server=False)
        sock.connect(f"tcp://{self.address}")
        return sock

    def _send(self, sock: zmq.Socket, outgoing: _Outgoing) -> None:
        """Send one message, or fail its future if the peer is not connected."""
        if outgoing.message is None:
            return
        number = 0
        if outgoing.fut is not None:
            self._last_number += 1
            number = self._last_number
        stamp = self._stamp.tick() if self._stamp else ""
        frames = [
            to_json(Header(number, self._sender, stamp)),
            self._codec.encode(outgoing.message),
        ]
        try:
            sock.send_multipart(frames, flags=zmq.DONTWAIT)
        except zmq.Again:
            self._fail(outgoing, "not connected")
            return
        self.sent_bytes += sum(map(len, frames))
        if outgoing.fut is not None:
            self._pending[number] = outgoing

    def _receive_all(self, sock: zmq.Socket) -> None:
        """Receive all responses that are available."""
        while True:
            try:
                frames = sock.recv_multipart(flags=zmq.DONTWAIT)
            except zmq.Again:
                return
            self.received_bytes += sum(map(len, frames))
            self._handle_response(frames)

    def _handle_response(self, frames: list[bytes]) -> None:
        """Complete the request of a response; drop invalid and unexpected ones."""
        try:
            header_raw, body = frames
            header = check_json(Header, header_raw, code=ResultCode.BAD_PEER_MESSAGE)
            response = self._codec.decode(body)
        except (ValueError, BadInputError):
            return
        if self._stamp and header.stamp:
            self._stamp.observe(header.stamp)
        outgoing = self._pending.pop(header.number, None)
        if outgoing is not None and not outgoing.fut.done():
            outgoing.fut.set_result(response)

    def _fail_all(self, reason: str) -> None:
        """Fail all pending requests, whose responses can no longer arrive."""
        while self._pending:
            _, outgoing = self._pending.popitem()
            self._fail(outgoing, reason)

    def _fail_expired(self) -> None:
        """Fail the pending requests that have timed out."""
        now = self._clock.now()
        for number in [n for n, outgoing in self._pending.items() if now >= outgoing.until_s]:
            self._fail(self._pending.pop(number), "no response in time")

    def _fail(self, outgoing: _Outgoing, reason: str) -> None:
        """Fail the future of a message, if it has one."""
        if outgoing.fut is not None and not outgoing.fut.done():
            outgoing.fut.set_exception(UnreachableError(f"{self.peer}: {reason}"))
