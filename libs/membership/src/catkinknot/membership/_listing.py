"""Read the platform's lagging list of instances."""

import json
from typing import Literal, Protocol

import urllib3
from pydantic.dataclasses import dataclass

from catkinknot.model import Address, ResultCode, check_python
from catkinknot.model.exceptions import BadInputError, PlatformError

__all__ = ["HttpListing", "ListedInstance", "Listing"]

_TIMEOUT_S = 2.0
_STATUS_OK = 200


@dataclass(frozen=True)
class ListedInstance:
    """Describe one instance as the platform lists it.

    Attributes:
        name: Its name.
        role: Whether it is an entry instance or a backend server.
        zone: Its availability zone.
        ip: Its IP number.
        port: Its HTTP port.
        peer_port: The port for other instances, 0 on a backend server.
        state: Whether it is live or leaving.
        rack: A backend server's rack.
        accelerators: A backend server's accelerators.
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
    """Read the list."""

    def read(self) -> list[ListedInstance]:
        """Return the list, or raise `PlatformError`."""


class HttpListing:
    """Read the list over HTTP."""

    def __init__(self, address: Address) -> None:
        """Prepare the connection.

        Args:
            address: Where the list is served.
        """
        self._url = f"http://{address}/v1/instances"
        self._http = urllib3.PoolManager(maxsize=1, retries=False)

    def read(self) -> list[ListedInstance]:
        """Return the list.

        Returns:
            All instances that the platform knows of.

        Raises:
            PlatformError: When there was no good answer.
        """
        try:
            reply = self._http.request("GET", self._url, timeout=_TIMEOUT_S)
            if reply.status != _STATUS_OK:
                raise PlatformError(f"the instance list answered {reply.status}")
            rows = json.loads(reply.data)["instances"]
            return check_python(list[ListedInstance], rows, code=ResultCode.INTERNAL)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, BadInputError) as exc:
            raise PlatformError(f"the instance list: {type(exc).__name__}") from None
