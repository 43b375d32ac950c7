"""Client of the platform's instance list, which lags behind the real state."""

import json
from typing import Literal, Protocol

import urllib3
from pydantic.dataclasses import dataclass

from catkinknot.model import Address, ResultCode, check_python
from catkinknot.model.exceptions import BadInputError, PlatformError

__all__ = ["HttpListing", "ListedInstance", "Listing"]

_REQUEST_TIMEOUT_S = 2.0
_STATUS_OK = 200


@dataclass(frozen=True)
class ListedInstance:
    """Instance as listed by the platform.

    Attributes:
        name: The instance's name.
        role: Whether it is an entry instance or a backend server.
        zone: The instance's availability zone.
        ip: The instance's IP address.
        port: The HTTP port.
        peer_port: The port for messages between instances, 0 on a backend
            server.
        state: Whether the instance is live or leaving.
        rack: The rack of a backend server.
        accelerators: The number of accelerators of a backend server.
    """

    name: str
    role: Literal["entry", "backend"]
    zone: str
    ip: str
    port: int
    peer_port: int = 0
    state: Literal["live", "leaving"] = "live"
    rack: int = 0
    accelerators: int = 0


class Listing(Protocol):
    """Source of the platform's instance list."""

    def read(self) -> list[ListedInstance]:
        """Return all listed instances, or raise `PlatformError`."""


class HttpListing:
    """Client that reads the instance list over HTTP."""

    def __init__(self, address: Address) -> None:
        """Create the connection pool.

        Args:
            address: Address of the service that serves the list.
        """
        self._url = f"http://{address}/v1/instances"
        self._http = urllib3.PoolManager(maxsize=1, retries=False)

    def read(self) -> list[ListedInstance]:
        """Fetch the list.

        Returns:
            All instances that the platform lists.

        Raises:
            PlatformError: If there was no valid response.
        """
        try:
            reply = self._http.request("GET", self._url, timeout=_REQUEST_TIMEOUT_S)
            if reply.status != _STATUS_OK:
                raise PlatformError(f"the instance list returned HTTP status {reply.status}")
            rows = json.loads(reply.data)["instances"]
            return check_python(list[ListedInstance], rows, code=ResultCode.INTERNAL)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, BadInputError) as exc:
            raise PlatformError(
                f"the instance list could not be read: {type(exc).__name__}"
            ) from None
