"""Node that receives messages of other instances and keeps a link to each."""

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
"""Sends the response to a request, at any time and from any thread."""

Handler = Callable[[str, Any, Reply], None]
"""Handles a message with its sender and reply function; it must not block."""

_POLL_INTERVAL_MS = 250
_HANDLER_THREAD_COUNT = 8


class PeerNode:
    """Node that receives on one thread and sends to each peer on a separate thread."""

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
        """Bind the socket and start to receive; use `open_node` instead.

        Args:
            instance: This instance's name.
            bind: The ``ip:port`` to listen on.
            codec: Encodes and decodes the messages.
            handler: Handles the messages of other instances.
            context: The ZMQ context.
            keys: The deployment's keys, None for no encryption.
            stamp: Logical clock with `tick` and `observe`, None for none.
            clock: The clock of the timeouts, by default the system's.
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
        self._pool = ThreadPoolExecutor(_HANDLER_THREAD_COUNT, thread_name_prefix="peer-handler")
        self._closed = False
        self._on_disconnect: Callable[[str], None] = lambda peer: None
        self.bad_messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._sock = self._bind(bind)
        self._thread = threading.Thread(target=self._run, name="peer-router", daemon=True)
        self._thread.start()

    def on_disconnect(self, callback: Callable[[str], None]) -> None:
        """Set the function that is called with a peer whose connection is lost."""
        self._on_disconnect = callback

    def connect(self, peer: str, address: str) -> None:
        """Open a link to a peer, replacing a link to another address.

        Args:
            peer: The other instance.
            address: The peer's ``ip:port``.
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
                on_disconnect=lambda name: self._on_disconnect(name),
            )
        if old is not None:
            old.close()

    def disconnect(self, peer: str) -> None:
        """Close the link to a peer, if there is one."""
        with self._lock:
            link = self._links.pop(peer, None)
        if link is not None:
            link.close()

    def peers(self) -> list[str]:
        """Return the names of the linked peers."""
        with self._lock:
            return list(self._links)

    def ask(self, peer: str, message: Any, timeout_s: float) -> Future:
        """Send a request to a peer.

        Args:
            peer: The other instance.
            message: The request.
            timeout_s: Seconds to wait for the response.

        Returns:
            A future for the response; it fails with `UnreachableError`.
        """
        with self._lock:
            link = self._links.get(peer)
        if link is not None:
            return link.ask(message, timeout_s)
        fut: Future = Future()
        fut.set_exception(UnreachableError(f"{peer}: no link to this peer"))
        return fut

    def notify(self, peer: str, message: Any) -> None:
        """Send a message without a response; it may be lost."""
        with self._lock:
            link = self._links.get(peer)
        if link is not None:
            link.notify(message)

    def traffic_bytes(self) -> int:
        """Return the total bytes of messages sent and received so far."""
        with self._lock:
            links = list(self._links.values())
        linked = sum(link.sent_bytes + link.received_bytes for link in links)
        return linked + self.sent_bytes + self.received_bytes

    def close(self) -> None:
        """Close all links and stop all threads."""
        self._closed = True
        self._outbox.put((b"", 0, None))
        self._thread.join(timeout=2.0)
        for peer in self.peers():
            self.disconnect(peer)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _bind(self, address: str) -> zmq.Socket:
        """Bind the socket that other instances connect to."""
        sock = self._context.socket(zmq.ROUTER)
        sock.linger = 0
        sock.maxmsgsize = MAX_MESSAGE_BYTES
        if self._keys is not None:
            self._keys.secure(sock, server=True)
        sock.bind(f"tcp://{address}")
        return sock

    def _run(self) -> None:
        """Receive messages and send responses until closed."""
        poller = zmq.Poller()
        poller.register(self._sock, zmq.POLLIN)
        poller.register(self._outbox.fileno(), zmq.POLLIN)
        try:
            while not self._closed:
                ready = dict(poller.poll(_POLL_INTERVAL_MS))
                for identity, number, response in self._outbox.drain():
                    self._send(identity, number, response)
                if self._sock in ready:
                    self._receive_all()
        finally:
            self._sock.close(linger=0)
            self._outbox.close()

    def _send(self, identity: bytes, number: int, response: Any) -> None:
        """Send one response, which is dropped if the peer is no longer connected."""
        if response is None:
            return
        stamp = self._stamp.tick() if self._stamp else ""
        header = to_json(Header(number, self._instance, stamp))
        frames = [identity, header, self._codec.encode(response)]
        self.sent_bytes += len(frames[1]) + len(frames[2])
        self._sock.send_multipart(frames, flags=zmq.DONTWAIT)

    def _receive_all(self) -> None:
        """Receive all messages that are available."""
        while True:
            try:
                frames = self._sock.recv_multipart(flags=zmq.DONTWAIT)
            except zmq.Again:
                return
            self.received_bytes += sum(map(len, frames[1:]))
            self._dispatch(frames)

    def _dispatch(self, frames: list[bytes]) -> None:
        """Pass one message to the handler, or count it as malformed."""
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
        """Call the handler with a reply function."""

        def reply(response: Any) -> None:
            """Queue the response, unless none is expected."""
            if header.number and not self._closed:
                self._outbox.put((identity, header.number, response))

        try:
            self._handler(header.sender, message, reply)
        except Exception:
            # The sender notices the failure by the missing response.
            logger.exception("The handler of a message from peer {} failed.", header.sender)


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
    """Open a node for as long as the block runs.

    Args:
        instance: This instance's name.
        bind: The ``ip:port`` to listen on.
        codec: Encodes and decodes the messages.
        handler: Handles the messages of other instances.
        keys: The deployment's keys, None for no encryption.
        stamp: Logical clock with `tick` and `observe`, None for none.
        clock: The clock of the timeouts, by default the system's.

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
