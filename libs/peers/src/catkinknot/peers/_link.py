"""Talk to one other instance with one thread."""

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

_POLL_MS = 250
_HIGH_WATER = 1000
MAX_MESSAGE_BYTES = 32 * 2**20
_PING_MS = 2000
_PING_TIMEOUT_MS = 6000
_RECONNECT_MS = 100
_RECONNECT_MAX_MS = 1000


@dataclass
class _Out:
    """Hold one message on its way out.

    Attributes:
        message: The message.
        fut: Who waits for the answer, None when none is wanted.
        until_s: When to give up waiting.
    """

    message: Any
    fut: Future | None
    until_s: float = field(default=0.0)


class PeerLink:
    """Send questions to one other instance and match the answers."""

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
        broken: Callable[[str], None] = lambda peer: None,
    ) -> None:
        """Start the thread that owns the connection.

        Args:
            sender: This instance.
            peer: The other instance.
            address: The other instance's ``ip:port``.
            codec: Turns messages into bytes.
            context: The ZMQ context.
            keys: The deployment's keys.
            stamp: Supplies and takes logical times.
            clock: Where time comes from.
            broken: Called with the peer when the connection breaks.
        """
        self._broken = broken
        self.peer = peer
        self.address = address
        self._sender = sender
        self._codec = codec
        self._context = context
        self._keys = keys
        self._stamp = stamp
        self._clock = clock or SystemClock()
        self._outbox: Outbox[_Out] = Outbox()
        self._waiting: dict[int, _Out] = {}
        self._numbers = 0
        self._closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self._thread = threading.Thread(target=self._run, name=f"peer-{peer}", daemon=True)
        self._thread.start()

    def ask(self, message: Any, timeout_s: float) -> Future:
        """Send a question.

        Args:
            message: The question.
            timeout_s: Seconds to wait for the answer.

        Returns:
            A future for the answer; it fails with `UnreachableError`.
        """
        fut: Future = Future()
        self._outbox.put(_Out(message, fut, self._clock.now() + timeout_s))
        return fut

    def notify(self, message: Any) -> None:
        """Send a message that wants no answer."""
        self._outbox.put(_Out(message, None))

    def close(self) -> None:
        """End the thread and fail what waits."""
        self._closed = True
        self._outbox.put(_Out(None, None))
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
                ready = dict(poller.poll(_POLL_MS))
                for out in self._outbox.drain():
                    self._send(sock, out)
                if sock in ready:
                    self._receive_all(sock)
                if monitor in ready:
                    monitor.recv_multipart()
                    self._give_up_all("the connection broke")
                    self._broken(self.peer)
                self._give_up_late()
        finally:
            sock.disable_monitor()
            monitor.close(linger=0)
            sock.close(linger=0)
            for out in [*self._waiting.values(), *self._outbox.drain()]:
                self._fail(out, "the link was closed")
            self._outbox.close()

    def _connect(self) -> zmq.Socket:
        """Open the connection; it reconnects by itself."""
        sock = self._context.socket(zmq.DEALER)
        sock.linger = 0
        sock.sndhwm = _HIGH_WATER
        sock.rcvhwm = _HIGH_WATER
        sock.maxmsgsize = MAX_MESSAGE_BYTES
        sock.immediate = True
        sock.heartbeat_ivl = _PING_MS
        sock.heartbeat_timeout = _PING_TIMEOUT_MS
        sock.reconnect_ivl = _RECONNECT_MS
        sock.reconnect_ivl_max = _RECONNECT_MAX_MS
        if self._keys is not None:
            self._keys.secure(sock, server=False)
        sock.connect(f"tcp://{self.address}")
        return sock

    def _send(self, sock: zmq.Socket, out: _Out) -> None:
        """Send one message, or fail its future at once."""
        if out.message is None:
            return
        number = 0
        if out.fut is not None:
            self._numbers += 1
            number = self._numbers
        stamp = self._stamp.tick() if self._stamp else ""
        frames = [to_json(Header(number, self._sender, stamp)), self._codec.encode(out.message)]
        try:
            sock.send_multipart(frames, flags=zmq.DONTWAIT)
        except zmq.Again:
            self._fail(out, "not connected")
            return
        self.sent_bytes += sum(map(len, frames))
        if out.fut is not None:
            self._waiting[number] = out

    def _receive_all(self, sock: zmq.Socket) -> None:
        """Receive all answers that have come."""
        while True:
            try:
                frames = sock.recv_multipart(flags=zmq.DONTWAIT)
            except zmq.Again:
                return
            self.received_bytes += sum(map(len, frames))
            self._take_answer(frames)

    def _take_answer(self, frames: list[bytes]) -> None:
        """Give an answer to who waits for it; drop what nobody waits for."""
        try:
            header_raw, body = frames
            header = check_json(Header, header_raw, code=ResultCode.BAD_PEER_MESSAGE)
            answer = self._codec.decode(body)
        except (ValueError, BadInputError):
            return
        if self._stamp and header.stamp:
            self._stamp.observe(header.stamp)
        out = self._waiting.pop(header.number, None)
        if out is not None and not out.fut.done():
            out.fut.set_result(answer)

    def _give_up_all(self, reason: str) -> None:
        """Fail every question, as the answers can no longer come."""
        while self._waiting:
            _, out = self._waiting.popitem()
            self._fail(out, reason)

    def _give_up_late(self) -> None:
        """Fail the questions whose time is over."""
        now = self._clock.now()
        for number in [n for n, out in self._waiting.items() if now >= out.until_s]:
            self._fail(self._waiting.pop(number), "no answer in time")

    def _fail(self, out: _Out, reason: str) -> None:
        """Fail a future, if there is one."""
        if out.fut is not None and not out.fut.done():
            out.fut.set_exception(UnreachableError(f"{self.peer}: {reason}"))
