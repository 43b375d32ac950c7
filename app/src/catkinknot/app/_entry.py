"""HTTP server for callers and operators."""

import hmac
import json
import logging
import time
from collections.abc import Callable
from typing import Any

import cherrypy
from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from catkinknot.journal import EventFilter, part_logger
from catkinknot.model import (
    KEY_PATTERN,
    Configuration,
    JobId,
    JobRequest,
    Outcome,
    ResultCode,
    check_config,
    check_python,
    code_info,
    to_python,
)
from catkinknot.model.exceptions import BadInputError, CatkinknotError, RefusedError

from ._compose import Instance
from ._page import render_page, render_timeline

__all__ = ["build_server"]

_MAX_WAIT_S = 30.0
_MAX_JSON_DEPTH = 20
_CLIENT_TIMEOUT_S = 15.0
_LEAVING_GRACE_S = 3.0
"""A leaving instance accepts work for this long, until load balancers have noticed."""

_JSON = "application/json"
_HTML = "text/html; charset=utf-8"
_TEXT = "text/plain; version=0.0.4; charset=utf-8"

log = part_logger("http")


def build_server(instance: Instance) -> wsgi.Server:
    """Return the HTTP server of an instance.

    Args:
        instance: The running instance.

    Returns:
        The server; its `start` runs until its `stop`.
    """
    settings = instance.settings
    app = cherrypy.Application(_Root(instance), "", _app_config())
    _disable_library_logs(app.log)
    server = wsgi.Server(
        (settings.http.ip, settings.http.port),
        app,
        numthreads=min(16, settings.http_threads),
        max=settings.http_threads,
        request_queue_size=256,
        timeout=_CLIENT_TIMEOUT_S,
        shutdown_timeout=settings.drain_s,
        accepted_queue_size=4 * settings.http_threads,
        accepted_queue_timeout=_CLIENT_TIMEOUT_S,
    )
    server.max_request_header_size = 32 * 1024
    if settings.keys.tls_certificate:
        server.ssl_adapter = BuiltinSSLAdapter(settings.keys.tls_certificate, settings.keys.tls_key)
    return server


def _disable_library_logs(logs: Any) -> None:
    """Disable the HTTP library's logs; this module logs failures itself."""
    for logger in (logs.access_log, logs.error_log):
        logger.handlers.clear()
        logger.propagate = False
        logger.addHandler(logging.NullHandler())


def _app_config() -> dict[str, dict[str, Any]]:
    """Return the options of the HTTP library."""
    return {
        "/": {
            "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "error_page.default": _error_page,
            "tools.encode.on": False,
            "engine.autoreload.on": False,
        }
    }


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return an error of the HTTP library itself as JSON with a result code."""
    http_status = int(status.split(maxsplit=1)[0])
    code = ResultCode.INTERNAL if http_status >= 500 else ResultCode.BAD_FIELD
    cherrypy.response.headers["Content-Type"] = _JSON
    return json.dumps({"code": int(code), "name": code.name, "message": message}).encode()


def _errors_as_json(method: Callable) -> Callable:
    """Return a handler that answers exceptions of a method with JSON and a result code."""

    def handler(self, *args, **kwargs) -> bytes:
        """Call the method and return its answer, or an error reply."""
        try:
            return method(self, *args, **kwargs)
        except BadInputError as exc:
            return _error_reply(exc.code, exc.message, faults=exc.faults)
        except CatkinknotError as exc:
            return _error_reply(exc.code, exc.message)
        except Exception:
            log.exception("A request failed.")
            return _error_reply(ResultCode.INTERNAL, "the request failed inside the service")

    handler.__doc__ = method.__doc__
    return handler


def _error_reply(code: ResultCode, message: str, *, faults: list[str] | None = None) -> bytes:
    """Return an error as JSON, with its result code and advice."""
    info = code_info(code)
    cherrypy.response.status = info.http_status
    cherrypy.response.headers["Content-Type"] = _JSON
    value = {
        "code": int(code),
        "name": code.name,
        "message": message,
        "ran": info.ran.name.lower(),
        "retry": info.retry,
        "advice": info.advice,
    }
    if faults:
        value["faults"] = faults
    return json.dumps(value).encode()


def _reply(value: Any, *, status: int = 200) -> bytes:
    """Return a value as JSON."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = _JSON
    return json.dumps(value).encode()


def _outcome_reply(outcome: Outcome) -> bytes:
    """Return the state or outcome of a job as JSON; a damaged result is not delivered."""
    if outcome.result is not None and not outcome.result.intact:
        return _error_reply(ResultCode.RESULT_DAMAGED, "the result is damaged")
    info = code_info(outcome.code)
    value = to_python(outcome)
    value["code"] = int(outcome.code)
    value["name"] = outcome.code.name
    value["ran"] = info.ran.name.lower()
    value["retry"] = info.retry
    value["advice"] = info.advice
    return _reply(value, status=info.http_status)


def _read_json(limit: int) -> Any:
    """Read the body of a request as JSON.

    Args:
        limit: The maximum size of the body in bytes.

    Returns:
        The parsed value.

    Raises:
        BadInputError: When the body is truncated, too large, too deep or not JSON.
    """
    raw = _read_body(limit)
    try:
        value = json.loads(raw)
    except RecursionError:
        raise BadInputError(ResultCode.BODY_TOO_DEEP, ["document: nested too deeply"]) from None
    except ValueError as exc:
        raise BadInputError(ResultCode.BAD_JSON, [f"document: {exc}"]) from None
    if _depth(value) > _MAX_JSON_DEPTH:
        reason = f"document: nested deeper than {_MAX_JSON_DEPTH} levels"
        raise BadInputError(ResultCode.BODY_TOO_DEEP, [reason])
    return value


def _read_body(limit: int) -> bytes:
    """Return the whole body of a request, or refuse a truncated one."""
    content_length = cherrypy.request.headers.get("Content-Length")
    if content_length is None or not content_length.isdigit():
        raise BadInputError(
            ResultCode.BODY_CUT, ["document: the Content-Length header is missing or invalid"]
        )
    length = int(content_length)
    if length > limit:
        reason = f"document: {length} bytes exceed the limit of {limit}"
        raise BadInputError(ResultCode.BODY_TOO_LARGE, [reason])
    try:
        raw = cherrypy.request.rfile.read(length)
    except OSError:
        raw = b""
    if len(raw) < length:
        reason = f"document: truncated, got {len(raw)} of {length} bytes"
        raise BadInputError(ResultCode.BODY_CUT, [reason])
    return raw


def _depth(value: Any) -> int:
    """Return how many levels a JSON value has, counted without recursion."""
    depth = 0
    level = [value]
    while level and depth <= _MAX_JSON_DEPTH:
        depth += 1
        next_level = []
        for item in level:
            if isinstance(item, dict):
                next_level += item.values()
            elif isinstance(item, list):
                next_level += item
        level = next_level
    return depth


def _parse_wait_s(text: str) -> float:
    """Parse and check the time that a caller wants to wait."""
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1.0
    if not 0 <= wait_s <= _MAX_WAIT_S:
        reason = f"wait_s: must be a number from 0 to {_MAX_WAIT_S:.0f}"
        raise BadInputError(ResultCode.BAD_FIELD, [reason])
    return wait_s


def _job_id(workspace: str, key: str) -> JobId:
    """Check and return the identity of a job in a path."""
    value = {"workspace": workspace, "key": key}
    return check_python(JobId, value, code=ResultCode.BAD_KEY)


class _Resource:
    """Base class of the resources; CherryPy serves only those with `exposed`."""

    exposed = True

    def __init__(self, instance: Instance) -> None:
        """Create the resource.

        Args:
            instance: The running instance.
        """
        self._instance = instance

    def _check_token(self) -> None:
        """Refuse a request that does not carry the operators' token."""
        token = self._instance.token
        credentials = cherrypy.request.headers.get("Authorization", "")
        if token and not hmac.compare_digest(credentials.encode(), f"Bearer {token}".encode()):
            raise RefusedError("the operators' token is wrong", code=ResultCode.BAD_TOKEN)


class _Jobs(_Resource):
    """Resource ``/v1/jobs``: submit, poll and cancel jobs."""

    def __init__(self, instance: Instance) -> None:
        """Create the resource.

        Args:
            instance: The running instance.
        """
        super().__init__(instance)
        self._leaving_since_s: float | None = None

    @_errors_as_json
    def POST(self, wait_s: str = "10") -> bytes:  # noqa: N802
        """Submit a job and wait up to `wait_s` for its end."""
        limit_s = _parse_wait_s(wait_s)
        value = _read_json(self._instance.settings.body_limit_bytes)
        request = self._check(value)
        self._refuse_when_leaving()
        return _outcome_reply(self._instance.jobs.submit(request, limit_s))

    @_errors_as_json
    def GET(self, workspace: str, key: str, wait_s: str = "0") -> bytes:  # noqa: N802
        """Return the state of a job, after waiting up to `wait_s` for its end."""
        return _outcome_reply(
            self._instance.jobs.result(_job_id(workspace, key), _parse_wait_s(wait_s))
        )

    @_errors_as_json
    def DELETE(self, workspace: str, key: str) -> bytes:  # noqa: N802
        """Cancel a job."""
        return _outcome_reply(self._instance.jobs.cancel(_job_id(workspace, key)))

    def _check(self, value: Any) -> JobRequest:
        """Check a job request; an invalid key has its own result code."""
        try:
            return check_python(JobRequest, value, code=ResultCode.BAD_FIELD)
        except BadInputError as exc:
            only_key = all(fault.startswith("key:") for fault in exc.faults)
            if only_key:
                reason = f"key: must match {KEY_PATTERN}"
                raise BadInputError(ResultCode.BAD_KEY, [reason]) from None
            raise

    def _refuse_when_leaving(self) -> None:
        """Refuse new work once the instance has been leaving for the grace period."""
        if not self._instance.duties.leaving:
            return
        self._leaving_since_s = self._leaving_since_s or time.monotonic()
        if time.monotonic() - self._leaving_since_s > _LEAVING_GRACE_S:
            raise RefusedError("this instance is leaving", code=ResultCode.LEAVING)


class _Status(_Resource):
    """Resource ``/v1/status``: the status of the service."""

    @_errors_as_json
    def GET(self) -> bytes:  # noqa: N802
        """Return the status of the service, from all instances that answer."""
        return _reply(to_python(self._instance.status.service_status()))


class _Timeline(_Resource):
    """Resource ``/v1/timeline``: the merged events."""

    @_errors_as_json
    def GET(  # noqa: N802
        self,
        job: str = "",
        zone: str = "",
        since_s: str = "0",
        until_s: str = "0",
        limit: str = "500",
        form: str = "json",
    ) -> bytes:
        """Return the events of all instances that answer."""
        value = {
            "job": job,
            "zone": zone,
            "since_s": since_s,
            "until_s": until_s,
            "limit": limit,
        }
        event_filter = check_python(EventFilter, value, code=ResultCode.BAD_FIELD)
        timeline = self._instance.status.merge_timelines(event_filter)
        if form == "html":
            cherrypy.response.headers["Content-Type"] = _HTML
            return render_timeline(timeline).encode()
        return _reply(to_python(timeline))


class _Config(_Resource):
    """Resource ``/v1/config``: read and publish the configuration."""

    @_errors_as_json
    def GET(self) -> bytes:  # noqa: N802
        """Return the configuration in force and its version."""
        current = self._instance.configs.current()
        if current is None:
            raise RefusedError("no configuration is in force", code=ResultCode.NO_CONFIG)
        return _reply({"version": current.version, "config": to_python(current.config)})

    @_errors_as_json
    def POST(self, base_version: str = "0", operator: str = "") -> bytes:  # noqa: N802
        """Publish a configuration that replaces the version `base_version`."""
        self._check_token()
        base = check_python(int, base_version, code=ResultCode.BAD_FIELD)
        config = self._read()
        version = self._instance.configs.publish(config, base, operator)
        return _reply({"version": version})

    def _read(self) -> Configuration:
        """Return the configuration in the body after checking it."""
        value = _read_json(self._instance.settings.body_limit_bytes)
        return check_config(json.dumps(value))


class _Drain(_Resource):
    """Resource ``/v1/drain``: make this instance leave."""

    @_errors_as_json
    def POST(self) -> bytes:  # noqa: N802
        """Make the instance leave, so that it accepts no new work."""
        self._check_token()
        self._instance.leave()
        return _reply({"leaving": True})


class _Metrics(_Resource):
    """Resource ``/metrics``: the metrics of this instance."""

    def GET(self) -> bytes:  # noqa: N802
        """Return all metrics as text."""
        cherrypy.response.headers["Content-Type"] = _TEXT
        return self._instance.context.metrics.text()


class _Live(_Resource):
    """Resource ``/livez``: whether the process answers."""

    def GET(self) -> bytes:  # noqa: N802
        """Return that the process is live."""
        return _reply({"live": True})


class _Ready(_Resource):
    """Resource ``/readyz``: whether callers may be routed to this instance."""

    def GET(self) -> bytes:  # noqa: N802
        """Return 200 when ready, else 503."""
        ready = self._instance.ready()
        return _reply({"ready": ready}, status=200 if ready else 503)


class _Version1(_Resource):
    """Parent of the resources below ``/v1``."""

    exposed = False

    def __init__(self, instance: Instance) -> None:
        """Create the resources.

        Args:
            instance: The running instance.
        """
        super().__init__(instance)
        self.jobs = _Jobs(instance)
        self.status = _Status(instance)
        self.timeline = _Timeline(instance)
        self.config = _Config(instance)
        self.drain = _Drain(instance)


class _Root(_Resource):
    """Root resource: the operators' page and the parent of all other resources."""

    def __init__(self, instance: Instance) -> None:
        """Create the resources.

        Args:
            instance: The running instance.
        """
        super().__init__(instance)
        self.v1 = _Version1(instance)
        self.metrics = _Metrics(instance)
        self.livez = _Live(instance)
        self.readyz = _Ready(instance)

    @_errors_as_json
    def GET(self) -> bytes:  # noqa: N802
        """Return the operators' page."""
        cherrypy.response.headers["Content-Type"] = _HTML
        return render_page(self._instance.status.service_status()).encode()
