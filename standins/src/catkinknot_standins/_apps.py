"""HTTP request handlers of the emulators."""

from collections.abc import Callable
from typing import Any

from catkinknot.backends import (
    Ack,
    Claim,
    Extend,
    Poll,
    Refusal,
    Release,
    Reserve,
    Start,
    Stop,
    Throttle,
)
from catkinknot.backends.exceptions import BackendRefusedError, BackendUnreachableError
from catkinknot.membership import ListedInstance
from catkinknot.model import ResultCode, check_json, to_json, to_python
from catkinknot.model.exceptions import BadInputError
from catkinknot.platformlog import NewEntry
from catkinknot.platformlog.exceptions import LogUnavailableError, OffsetExpiredError

from ._backend_server import BackendServer
from ._faults import Faults
from ._http import Reply, Request
from ._instance_list import InstanceList
from ._log_store import LogStore

__all__ = ["backend_app", "list_app", "log_app"]

Handler = Callable[[Request], Reply]

_BACKEND_REQUESTS: dict[str, Any] = {
    "claim": Claim,
    "poll": Poll,
    "reserve": Reserve,
    "start": Start,
    "extend": Extend,
    "release": Release,
    "stop": Stop,
    "throttle": Throttle,
    "ack": Ack,
}


def log_app(store: LogStore) -> Handler:
    """Build the request handler of the log service.

    Args:
        store: The emulated log.

    Returns:
        A request handler.
    """

    def handle(req: Request) -> Reply:
        """Answer a request."""
        try:
            match (req.method, req.path):
                case ("POST", "/v1/append"):
                    return _append(store, req)
                case ("GET", "/v1/read"):
                    return _read(store, req)
                case ("POST", "/faults"):
                    return _set_faults(store, req)
        except OffsetExpiredError as exc:
            return Reply.of(410, {"first_offset": exc.first_offset})
        except LogUnavailableError as exc:
            return Reply.of(503, {"error": exc.message})
        return Reply.of(404, {})

    return handle


def backend_app(server: BackendServer) -> Handler:
    """Build the request handler of a backend server.

    Args:
        server: The emulated server.

    Returns:
        A request handler.
    """

    def handle(req: Request) -> Reply:
        """Answer a request."""
        if req.path == "/faults":
            return _set_faults(server, req)
        if req.path == "/reboot":
            server.reboot()
            return Reply.of(200, {})
        if req.path == "/starts":
            return Reply.of(200, {"starts": server.starts})
        verb = req.path.removeprefix("/v1/")
        model = _BACKEND_REQUESTS.get(verb)
        if model is None:
            return Reply.of(404, {})
        try:
            call = check_json(model, req.body, code=ResultCode.BAD_FIELD)
            return Reply(200, to_json(getattr(server, verb)(call)))
        except BadInputError as exc:
            return Reply.of(400, {"error": exc.message})
        except BackendRefusedError as exc:
            return Reply(409, to_json(Refusal(exc.reason, call.epoch)))
        except BackendUnreachableError as exc:
            return Reply.of(503, {"error": exc.message})

    return handle


def list_app(listing: InstanceList) -> Handler:
    """Build the request handler of the instance list.

    Args:
        listing: The emulated list.

    Returns:
        A request handler.
    """

    def handle(req: Request) -> Reply:
        """Answer a request."""
        match (req.method, req.path):
            case ("GET", "/v1/instances"):
                if listing.faults.out:
                    return Reply.of(503, {})
                return Reply.of(200, {"instances": [to_python(item) for item in listing.read()]})
            case ("POST", "/v1/instances"):
                listing.put(check_json(ListedInstance, req.body, code=ResultCode.BAD_FIELD))
                return Reply.of(200, {})
            case ("POST", "/v1/remove"):
                listing.remove(req.query["name"])
                return Reply.of(200, {})
            case ("POST", "/faults"):
                return _set_faults(listing, req)
        return Reply.of(404, {})

    return handle


def _append(store: LogStore, req: Request) -> Reply:
    """Append the records in a request's body."""
    body = check_json(dict[str, list[NewEntry]], req.body, code=ResultCode.BAD_FIELD)
    first = store.append(body["records"])
    return Reply.of(200, {"first_offset": first, "count": len(body["records"])})


def _read(store: LogStore, req: Request) -> Reply:
    """Read the records that a request's query selects."""
    page = store.read(
        int(req.query["from"]),
        limit=int(req.query.get("limit", "100")),
        wait_s=int(req.query.get("wait_ms", "0")) / 1000,
    )
    value = {
        "records": [to_python(entry) for entry in page.entries],
        "first_offset": page.first_offset,
        "next_offset": page.next_offset,
    }
    return Reply.of(200, value)


def _set_faults(emulator: Any, req: Request) -> Reply:
    """Replace the faults of an emulator."""
    emulator.set_faults(check_json(Faults, req.body, code=ResultCode.BAD_FIELD))
    return Reply.of(200, {})
