"""Test messages between two nodes over real sockets."""

import socket
import threading
import unittest
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import ExitStack

import zmq

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError, UnreachableError
from catkinknot.peers import PeerKeys, open_node


class TextCodec:
    """Codec of plain text, which treats text that begins with ! as malformed."""

    def encode(self, message: str) -> bytes:
        """Encode a message."""
        return message.encode()

    def decode(self, raw: bytes) -> str:
        """Decode a message."""
        if raw.startswith(b"!"):
            raise BadInputError(ResultCode.BAD_PEER_MESSAGE, ["it is malformed"])
        return raw.decode()


def echo(sender: str, message: str, reply) -> None:
    """Reply with the sender and the message, but not to the message ``silence``."""
    if message != "silence":
        reply(f"{sender} said {message}")


def free_address() -> str:
    """Return an address with a free port on loopback."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def new_keys() -> PeerKeys:
    """Return a new key pair."""
    return PeerKeys(*zmq.curve_keypair())


class TestPeers(unittest.TestCase):
    """Tests of requests and responses between nodes."""

    def setUp(self):
        """Create a stack that closes all nodes after the test."""
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)

    def open_pair(self, one_keys=None, two_keys=None):
        """Open two nodes, the first linked to the second."""
        address = free_address()
        two = self.stack.enter_context(open_node("two", address, TextCodec(), echo, keys=two_keys))
        one = self.stack.enter_context(
            open_node("one", free_address(), TextCodec(), echo, keys=one_keys)
        )
        one.connect("two", address)
        return one, two

    def ask(self, node, message: str, tries: int = 50) -> str:
        """Send a request until the link is connected, and return the response."""
        for _ in range(tries):
            try:
                return node.ask("two", message, 2.0).result(5.0)
            except UnreachableError:
                threading.Event().wait(0.05)
        raise AssertionError("no response")

    def test_responses_match_their_requests(self):
        """Each of many concurrent requests must get its own response."""
        one, _ = self.open_pair()
        self.ask(one, "hello")
        futs = {n: one.ask("two", f"number {n}", 5.0) for n in range(200)}
        for number, fut in futs.items():
            self.assertEqual(fut.result(5.0), f"one said number {number}")

    def test_malformed_messages_are_counted_and_the_node_goes_on(self):
        """A malformed message must be counted and must not affect other messages."""
        one, two = self.open_pair()
        self.ask(one, "hello")
        one.notify("two", "!nonsense")
        self.assertEqual(self.ask(one, "still there"), "one said still there")
        self.assertEqual(two.bad_messages, 1)

    def test_request_without_response_times_out(self):
        """A request without a response fails after its timeout."""
        one, _ = self.open_pair()
        self.ask(one, "hello")
        with self.assertRaises(UnreachableError):
            one.ask("two", "silence", 0.3).result(5.0)

    def test_lost_connection_fails_pending_requests(self):
        """Pending requests to a peer that closes must fail long before their timeout."""
        address = free_address()
        one = self.stack.enter_context(open_node("one", free_address(), TextCodec(), echo))
        with open_node("two", address, TextCodec(), echo):
            one.connect("two", address)
            self.ask(one, "hello")
            fut = one.ask("two", "silence", 600.0)
        with self.assertRaises(UnreachableError):
            fut.result(20.0)

    def test_unknown_peer(self):
        """A request to a peer without a link fails at once."""
        one, _ = self.open_pair()
        with self.assertRaises(UnreachableError):
            one.ask("three", "hello", 1.0).result(0.0)

    def test_keys(self):
        """A node with a key other than the deployment's must not get responses."""
        deployment_keys = new_keys()
        one, _ = self.open_pair(deployment_keys, deployment_keys)
        self.assertEqual(self.ask(one, "hello"), "one said hello")
        outsider, _ = self.open_pair(new_keys(), deployment_keys)
        with self.assertRaises((UnreachableError, FutureTimeoutError)):
            outsider.ask("two", "hello", 0.5).result(3.0)
