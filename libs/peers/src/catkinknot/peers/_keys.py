"""Encryption and authentication between instances with ZMQ CURVE."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import zmq
from zmq.auth.thread import ThreadAuthenticator

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError

__all__ = ["PeerKeys", "authenticator", "load_peer_keys"]

_KEY_CHAR_COUNT = 40
_ZAP_DOMAIN = "catkinknot"


@dataclass(frozen=True)
class PeerKeys:
    """Key pair shared by all instances of a deployment.

    Attributes:
        public: The public key in Z85.
        secret: The secret key in Z85.
    """

    public: bytes
    secret: bytes

    def secure(self, sock: zmq.Socket, *, server: bool) -> None:
        """Set the keys on a socket before it binds or connects.

        Args:
            sock: The socket.
            server: Whether the socket binds.
        """
        sock.curve_publickey = self.public
        sock.curve_secretkey = self.secret
        if server:
            sock.curve_server = True
            sock.zap_domain = _ZAP_DOMAIN.encode()
        else:
            sock.curve_serverkey = self.public


class _DeploymentKeyProvider:
    """Credentials provider that accepts only the deployment's own key."""

    def __init__(self, public: bytes) -> None:
        """Set the accepted public key."""
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is the deployment's."""
        return key == self._public


def load_peer_keys(path: str) -> PeerKeys | None:
    """Read the deployment's secret key.

    Args:
        path: The key file, empty for none.

    Returns:
        The keys, None if no file is named.

    Raises:
        BadInputError: If the file does not contain a key.
    """
    if not path:
        return None
    secret = Path(path).read_text().strip().encode()
    if len(secret) != _KEY_CHAR_COUNT:
        reason = f"{path}: a ZMQ CURVE secret key must have {_KEY_CHAR_COUNT} characters"
        raise BadInputError(ResultCode.BAD_SETTINGS, [reason])
    return PeerKeys(zmq.curve_public(secret), secret)


@contextmanager
def authenticator(context: zmq.Context, keys: PeerKeys | None) -> Iterator[None]:
    """Authenticate connecting peers while the block runs.

    Args:
        context: The ZMQ context of the sockets.
        keys: The deployment's keys, None to accept any peer.

    Yields:
        Nothing.
    """
    if keys is None:
        yield
        return
    auth = ThreadAuthenticator(context)
    auth.start()
    auth.configure_curve_callback(
        _ZAP_DOMAIN, credentials_provider=_DeploymentKeyProvider(keys.public)
    )
    try:
        yield
    finally:
        auth.stop()
