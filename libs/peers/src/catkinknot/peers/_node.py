"""Answer other instances and keep a link to each."""

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

import zmq
from loguru import logger

from catkinknot.model import Clock, ResultCode, check_json, to_json
from catkinknot.model.exceptions import BadInputError, UnreachableError

from ._codec import Codec, Header
from ._keys import PeerKeys, authenticator
from ._link import MAX_MESSAGE_BYTES, PeerLink
from ._wakeup import Outbox

__all__ = ["Handler", "PeerNode", "Reply", "open_node"]

Reply = Callable[[Any], None]
"""Send the answer to a question, now or later, from any thread."""

Handler = Callable[[str, Any, Reply], None]
"""Take a message with its sender; it must not wait for anything slow."""

_POLL_MS = 250
_HANDLERS = 8


class PeerNode:
    """Receive on one thread, and send to each peer on a thread of its own."""

    def __init__(
        self,
        instance: str,
        bind: str,
        codec: Codec,
        handler: Handler,
        *,
        context: zmq.Context,
        keys: PeerKeys | None,
        stamp: Any,
        clock: Clock | None,
    ) -> None:
        """Start to receive; use `open_node` instead.

        Args:
            instance: This instance's name.
            bind: The ``ip:port`` to listen on.
            codec: Turns messages into bytes.
            handler: Takes the messages of other instances.
            context: The ZMQ context.
            keys: The deployment's keys.
            stamp: Supplies and takes logical times.
            clock: Where time comes from.
        """
        self._instance = instance
        self._codec = codec
        self._handler = handler
        self._context = context
        self._keys = keys
        self._stamp = stamp
        self._clock = clock
        self._links: dict[str, PeerLink] = {}
        self._lock = threading.Lock()
        self._outbox: Outbox[tuple[bytes, int, Any]] = Outbox()
        self._pool = ThreadPoolExecutor(_HANDLERS, thread_name_prefix="peer-handler")
        self._closed = False
        self._broken: Callable[[str], None] = lambda peer: None
        self.bad_messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._sock = self._bind(bind)
        self._thread = threading.Thread(target=self._run, name="peer-router", daemon=True)
        self._thread.start()

    def on_disconnect(self, broken: Callable[[str], None]) -> None:
        """Say whom to tell when the connection to a peer breaks."""
        self._broken = broken

    def connect(self, peer: str, address: str) -> None:
        """Keep a link to a peer, replacing one to another address.

        Args:
            peer: The other instance.
            address: Its ``ip:port``.
        """
        with self._lock:
            old = self._links.get(peer)
            if old is not None and old.address == address:
                return
            self._links[peer] = PeerLink(
                self._instance,
                peer,
                address,
                self._codec,
                context=self._context,
                keys=self._keys,
                stamp=self._stamp,
                clock=self._clock,
                broken=lambda name: self._broken(name),
            )
        if old is not None:
            old.close()

    def disconnect(self, peer: str) -> None:
        """Drop the link to a peer, if there is one."""
        with self._lock:
            link = self._links.pop(peer, None)
        if link is not None:
            link.close()

    def peers(self) -> list[str]:
        """Return the peers that there are links to."""
        with self._lock:
            return list(self._links)

    def ask(self, peer: str, message: Any, timeout_s: float) -> Future:
        """Send a question to a peer.

        Args:
            peer: The other instance.
            message: The question.
            timeout_s: Seconds to wait for the answer.

        Returns:
            A future for the answer; it fails with `UnreachableError`.
        """
        with self._lock:
            link = self._links.get(peer)
        if link is not None:
            return link.ask(message, timeout_s)
        fut: Future = Future()
        fut.set_exception(UnreachableError(f"{peer}: no such peer"))
        return fut

    def notify(self, peer: str, message: Any) -> None:
        """Send a message that wants no answer; it may be lost."""
        with self._lock:
            link = self._links.get(peer)
        if link is not None:
            link.notify(message)

    def traffic_bytes(self) -> int:
        """Return all bytes of messages sent and received so far."""
        with self._lock:
            links = list(self._links.values())
        linked = sum(link.sent_bytes + link.received_bytes for link in links)
        return linked + self.sent_bytes + self.received_bytes

    def close(self) -> None:
        """End all threads."""
        self._closed = True
        self._outbox.put((b"", 0, None))
        self._thread.join(timeout=2.0)
        for peer in self.peers():
            self.disconnect(peer)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _bind(self, address: str) -> zmq.Socket:
        """Open the socket that others connect to."""
        sock = self._context.socket(zmq.ROUTER)
        sock.linger = 0
        sock.maxmsgsize = MAX_MESSAGE_BYTES
        if self._keys is not None:
            self._keys.secure(sock, server=True)
        sock.bind(f"tcp://{address}")
        return sock

    def _run(self) -> None:
        """Receive questions and send answers until closed."""
        poller = zmq.Poller()
        poller.register(self._sock, zmq.POLLIN)
        poller.register(self._outbox.fileno(), zmq.POLLIN)
        try:
            while not self._closed:
                ready = dict(poller.poll(_POLL_MS))
                for identity, number, answer in self._outbox.drain():
                    self._send(identity, number, answer)
                if self._sock in ready:
                    self._receive_all()
        finally:
            self._sock.close(linger=0)
            self._outbox.close()

    def _send(self, identity: bytes, number: int, answer: Any) -> None:
        """Send one answer; a peer that is gone does not get it."""
        if answer is None:
            return
        stamp = self._stamp.tick() if self._stamp else ""
        header = to_json(Header(number, self._instance, stamp))
        frames = [identity, header, self._codec.encode(answer)]
        self.sent_bytes += len(frames[1]) + len(frames[2])
        self._sock.send_multipart(frames, flags=zmq.DONTWAIT)

    def _receive_all(self) -> None:
        """Hand all messages that have come to the handler."""
        while True:
            try:
                frames = self._sock.recv_multipart(flags=zmq.DONTWAIT)
            except zmq.Again:
                return
            self.received_bytes += sum(map(len, frames[1:]))
            self._take(frames)

    def _take(self, frames: list[bytes]) -> None:
        """Hand one message to the handler; count it when it is malformed."""
        try:
            identity, header_raw, body = frames
            header = check_json(Header, header_raw, code=ResultCode.BAD_PEER_MESSAGE)
            message = self._codec.decode(body)
        except (ValueError, BadInputError):
            self.bad_messages += 1
            return
        if self._stamp and header.stamp:
            self._stamp.observe(header.stamp)
        self._pool.submit(self._handle, identity, header, message)

    def _handle(self, identity: bytes, header: Header, message: Any) -> None:
        """Call the handler with a way to answer."""

        def reply(answer: Any) -> None:
            """Send the answer, unless none was wanted."""
            if header.number and not self._closed:
                self._outbox.put((identity, header.number, answer))

        try:
            self._handler(header.sender, message, reply)
        except Exception:
            # The sender learns of it by the missing answer.
            logger.exception("A message of peer {} could not be handled.", header.sender)


@contextmanager
def open_node(
    instance: str,
    bind: str,
    codec: Codec,
    handler: Handler,
    *,
    keys: PeerKeys | None = None,
    stamp: Any = None,
    clock: Clock | None = None,
) -> Iterator[PeerNode]:
    """Receive from other instances while the block runs.

    Args:
        instance: This instance's name.
        bind: The ``ip:port`` to listen on.
        codec: Turns messages into bytes.
        handler: Takes the messages of other instances.
        keys: The deployment's keys.
        stamp: Supplies and takes logical times.
        clock: Where time comes from.

    Yields:
        The node.
    """
    context = zmq.Context()
    with authenticator(context, keys):
        node = PeerNode(
            instance,
            bind,
            codec,
            handler,
            context=context,
            keys=keys,
            stamp=stamp,
            clock=clock,
        )
        try:
            yield node
        finally:
            node.close()
    context.destroy(linger=0)
