"""Check messages between two nodes over real sockets."""

import socket
import threading
import unittest
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import ExitStack

import zmq

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError, UnreachableError
from catkinknot.peers import PeerKeys, open_node


class Text:
    """Carry plain text; text that begins with ! is malformed."""

    def encode(self, message: str) -> bytes:
        """Write a message."""
        return message.encode()

    def decode(self, raw: bytes) -> str:
        """Read a message."""
        if raw.startswith(b"!"):
            raise BadInputError(ResultCode.BAD_PEER_MESSAGE, ["it is malformed"])
        return raw.decode()


def echo(sender: str, message: str, reply) -> None:
    """Answer with what was asked, but never to silence."""
    if message != "silence":
        reply(f"{sender} said {message}")


def address() -> str:
    """Find a free port on loopback."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def keys() -> PeerKeys:
    """Make a new key pair."""
    return PeerKeys(*zmq.curve_keypair())


class TestPeers(unittest.TestCase):
    """Check asking and answering."""

    def setUp(self):
        """Prepare to close what is opened."""
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)

    def pair(self, one_keys=None, two_keys=None):
        """Open two nodes, the first linked to the second."""
        at = address()
        two = self.stack.enter_context(open_node("two", at, Text(), echo, keys=two_keys))
        one = self.stack.enter_context(open_node("one", address(), Text(), echo, keys=one_keys))
        one.connect("two", at)
        return one, two

    def ask(self, node, message: str, tries: int = 50) -> str:
        """Ask until the link is up."""
        for _ in range(tries):
            try:
                return node.ask("two", message, 2.0).result(5.0)
            except UnreachableError:
                threading.Event().wait(0.05)
        raise AssertionError("no answer")

    def test_answers_match_their_questions(self):
        """Many questions at once each get their own answer."""
        one, _ = self.pair()
        self.ask(one, "hello")
        futs = {n: one.ask("two", f"number {n}", 5.0) for n in range(200)}
        for number, fut in futs.items():
            self.assertEqual(fut.result(5.0), f"one said number {number}")

    def test_malformed_messages_are_counted_and_the_node_goes_on(self):
        """A message that is none of ours touches no other."""
        one, two = self.pair()
        self.ask(one, "hello")
        one.notify("two", "!nonsense")
        self.assertEqual(self.ask(one, "still there"), "one said still there")
        self.assertEqual(two.bad_messages, 1)

    def test_silence_ends_in_an_error(self):
        """A question without an answer fails when its time is over."""
        one, _ = self.pair()
        self.ask(one, "hello")
        with self.assertRaises(UnreachableError):
            one.ask("two", "silence", 0.3).result(5.0)

    def test_broken_connection_fails_what_waits(self):
        """When the peer goes away its questions fail long before their time."""
        at = address()
        one = self.stack.enter_context(open_node("one", address(), Text(), echo))
        with open_node("two", at, Text(), echo):
            one.connect("two", at)
            self.ask(one, "hello")
            fut = one.ask("two", "silence", 600.0)
        with self.assertRaises(UnreachableError):
            fut.result(20.0)

    def test_unknown_peer(self):
        """Asking somebody who was never listed fails at once."""
        one, _ = self.pair()
        with self.assertRaises(UnreachableError):
            one.ask("three", "hello", 1.0).result(0.0)

    def test_keys(self):
        """Only holders of the deployment's key are answered."""
        good = keys()
        one, _ = self.pair(good, good)
        self.assertEqual(self.ask(one, "hello"), "one said hello")
        stranger, _ = self.pair(keys(), good)
        with self.assertRaises((UnreachableError, FutureTimeoutError)):
            stranger.ask("two", "hello", 0.5).result(3.0)
