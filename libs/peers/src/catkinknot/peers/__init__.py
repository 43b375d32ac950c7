"""Typed messages between instances over ZMQ."""

from ._codec import Codec, Header
from ._keys import PeerKeys, load_peer_keys
from ._link import PeerLink
from ._node import Handler, PeerNode, Reply, open_node

__all__ = [
    "Codec",
    "Handler",
    "Header",
    "PeerKeys",
    "PeerLink",
    "PeerNode",
    "Reply",
    "load_peer_keys",
    "open_node",
]
