"""Serve callers and operators over HTTP."""

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
_MAX_DEPTH = 20
_SLOW_CLIENT_S = 15.0
_LEAVING_GRACE_S = 3.0
"""A leaving instance still takes work for this long, until balancers know."""

_JSON = "application/json"
_HTML = "text/html; charset=utf-8"
_TEXT = "text/plain; version=0.0.4; charset=utf-8"

log = part_logger("http")


def build_server(instance: Instance) -> wsgi.Server:
    """Prepare the HTTP server of an instance.

    Args:
        instance: The running instance.

    Returns:
        The server; its `start` runs until its `stop`.
    """
    settings = instance.settings
    app = cherrypy.Application(_Root(instance), "", _app_config())
    _silence(app.log)
    server = wsgi.Server(
        (settings.http.ip, settings.http.port),
        app,
        numthreads=min(16, settings.http_threads),
        max=settings.http_threads,
        request_queue_size=256,
        timeout=_SLOW_CLIENT_S,
        shutdown_timeout=settings.drain_s,
        accepted_queue_size=4 * settings.http_threads,
        accepted_queue_timeout=_SLOW_CLIENT_S,
    )
    server.max_request_header_size = 32 * 1024
    if settings.keys.tls_certificate:
        server.ssl_adapter = BuiltinSSLAdapter(settings.keys.tls_certificate, settings.keys.tls_key)
    return server


def _silence(logs: Any) -> None:
    """Keep the HTTP library's own log lines out; this module writes its own."""
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
    """Write errors of the HTTP library itself as JSON with a code."""
    number = int(status.split(maxsplit=1)[0])
    code = ResultCode.INTERNAL if number >= 500 else ResultCode.BAD_FIELD
    cherrypy.response.headers["Content-Type"] = _JSON
    return json.dumps({"code": int(code), "name": code.name, "message": message}).encode()


def _answered(method: Callable) -> Callable:
    """Turn the errors of a handler into replies with a numbered code."""

    def handler(self, *args, **kwargs) -> bytes:
        """Call the handler and write its answer."""
        try:
            return method(self, *args, **kwargs)
        except BadInputError as exc:
            return _fail(exc.code, exc.message, faults=exc.faults)
        except CatkinknotError as exc:
            return _fail(exc.code, exc.message)
        except Exception:
            log.exception("A request failed.")
            return _fail(ResultCode.INTERNAL, "the request failed inside the service")

    handler.__doc__ = method.__doc__
    return handler


def _fail(code: ResultCode, message: str, *, faults: list[str] | None = None) -> bytes:
    """Write a refusal."""
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
    """Write a JSON value."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = _JSON
    return json.dumps(value).encode()


def _outcome(outcome: Outcome) -> bytes:
    """Write how a job stands or ended; a damaged result is not delivered."""
    if outcome.result is not None and not outcome.result.intact:
        return _fail(ResultCode.RESULT_DAMAGED, "the result is damaged")
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
        limit: The most bytes.

    Returns:
        The parsed value.

    Raises:
        BadInputError: With the code that fits what is wrong.
    """
    raw = _read_body(limit)
    try:
        value = json.loads(raw)
    except RecursionError:
        raise BadInputError(ResultCode.BODY_TOO_DEEP, ["document: too deep"]) from None
    except ValueError as exc:
        raise BadInputError(ResultCode.BAD_JSON, [f"document: {exc}"]) from None
    if _depth(value) > _MAX_DEPTH:
        reason = f"document: deeper than {_MAX_DEPTH} levels"
        raise BadInputError(ResultCode.BODY_TOO_DEEP, [reason])
    return value


def _read_body(limit: int) -> bytes:
    """Read the body of a request, whole or not at all."""
    declared = cherrypy.request.headers.get("Content-Length")
    if declared is None or not declared.isdigit():
        raise BadInputError(ResultCode.BODY_CUT, ["document: its length is not declared"])
    length = int(declared)
    if length > limit:
        reason = f"document: {length} bytes are more than {limit}"
        raise BadInputError(ResultCode.BODY_TOO_LARGE, [reason])
    try:
        raw = cherrypy.request.rfile.read(length)
    except OSError:
        raw = b""
    if len(raw) < length:
        reason = f"document: {len(raw)} of {length} bytes came"
        raise BadInputError(ResultCode.BODY_CUT, [reason])
    return raw


def _depth(value: Any) -> int:
    """Count the levels of a JSON value without recursion."""
    depth = 0
    level = [value]
    while level and depth <= _MAX_DEPTH:
        depth += 1
        below = []
        for item in level:
            if isinstance(item, dict):
                below += item.values()
            elif isinstance(item, list):
                below += item
        level = below
    return depth


def _wait_s(text: str) -> float:
    """Check how long a caller wants to wait."""
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1.0
    if not 0 <= wait_s <= _MAX_WAIT_S:
        reason = f"wait_s: a number from 0 to {_MAX_WAIT_S:.0f} is wanted"
        raise BadInputError(ResultCode.BAD_FIELD, [reason])
    return wait_s


def _job_id(workspace: str, key: str) -> JobId:
    """Check the identity of a job in a path."""
    value = {"workspace": workspace, "key": key}
    return check_python(JobId, value, code=ResultCode.BAD_KEY)


class _Part:
    """Base of the resources; CherryPy looks for `exposed`."""

    exposed = True

    def __init__(self, instance: Instance) -> None:
        """Keep the instance.

        Args:
            instance: The running instance.
        """
        self._instance = instance

    def _check_token(self) -> None:
        """Refuse whoever does not know the operators' token."""
        token = self._instance.token
        given = cherrypy.request.headers.get("Authorization", "")
        if token and not hmac.compare_digest(given.encode(), f"Bearer {token}".encode()):
            raise RefusedError("the operators' token is wrong", code=ResultCode.BAD_TOKEN)


class _Jobs(_Part):
    """Submit, follow and cancel jobs at ``/v1/jobs``."""

    def __init__(self, instance: Instance) -> None:
        """Start with nobody leaving."""
        super().__init__(instance)
        self._left_s: float | None = None

    @_answered
    def POST(self, wait_s: str = "10") -> bytes:  # noqa: N802
        """Submit a job and wait for its end."""
        limit_s = _wait_s(wait_s)
        value = _read_json(self._instance.settings.body_limit_bytes)
        request = self._check(value)
        self._refuse_when_leaving()
        return _outcome(self._instance.jobs.submit(request, limit_s))

    @_answered
    def GET(self, workspace: str, key: str, wait_s: str = "0") -> bytes:  # noqa: N802
        """Say how a job stands, waiting for its end if asked to."""
        return _outcome(self._instance.jobs.result(_job_id(workspace, key), _wait_s(wait_s)))

    @_answered
    def DELETE(self, workspace: str, key: str) -> bytes:  # noqa: N802
        """Cancel a job."""
        return _outcome(self._instance.jobs.cancel(_job_id(workspace, key)))

    def _check(self, value: Any) -> JobRequest:
        """Check a request; a bad key has a code of its own."""
        try:
            return check_python(JobRequest, value, code=ResultCode.BAD_FIELD)
        except BadInputError as exc:
            only_key = all(fault.startswith("key:") for fault in exc.faults)
            if only_key:
                reason = f"key: it must match {KEY_PATTERN}"
                raise BadInputError(ResultCode.BAD_KEY, [reason]) from None
            raise

    def _refuse_when_leaving(self) -> None:
        """Refuse new work a few seconds after the instance began to leave."""
        if not self._instance.duties.leaving:
            return
        self._left_s = self._left_s or time.monotonic()
        if time.monotonic() - self._left_s > _LEAVING_GRACE_S:
            raise RefusedError("this instance is leaving", code=ResultCode.LEAVING)


class _Status(_Part):
    """Answer "is it down?" at ``/v1/status``."""

    @_answered
    def GET(self) -> bytes:  # noqa: N802
        """Return the judgement of all instances that answer."""
        return _reply(to_python(self._instance.status.service_status()))


class _TimeLine(_Part):
    """Merge events at ``/v1/timeline``."""

    @_answered
    def GET(  # noqa: N802
        self,
        job: str = "",
        zone: str = "",
        since_s: str = "0",
        until_s: str = "0",
        limit: str = "500",
        form: str = "json",
    ) -> bytes:
        """Return events of all instances that answer."""
        value = {
            "job": job,
            "zone": zone,
            "since_s": since_s,
            "until_s": until_s,
            "limit": limit,
        }
        wanted = check_python(EventFilter, value, code=ResultCode.BAD_FIELD)
        line = self._instance.status.merge_timelines(wanted)
        if form == "html":
            cherrypy.response.headers["Content-Type"] = _HTML
            return render_timeline(line).encode()
        return _reply(to_python(line))


class _Config(_Part):
    """Show and publish the configuration at ``/v1/config``."""

    @_answered
    def GET(self) -> bytes:  # noqa: N802
        """Return the configuration in force and its version."""
        current = self._instance.configs.current()
        if current is None:
            raise RefusedError("no configuration is in force", code=ResultCode.NO_CONFIG)
        return _reply({"version": current.version, "config": to_python(current.config)})

    @_answered
    def POST(self, base_version: str = "0", operator: str = "") -> bytes:  # noqa: N802
        """Publish a configuration in place of the version that was seen."""
        self._check_token()
        base = check_python(int, base_version, code=ResultCode.BAD_FIELD)
        config = self._read()
        version = self._instance.configs.publish(config, base, operator)
        return _reply({"version": version})

    def _read(self) -> Configuration:
        """Read and check the configuration in the body."""
        value = _read_json(self._instance.settings.body_limit_bytes)
        return check_config(json.dumps(value))


class _Drain(_Part):
    """Let this instance leave at ``/v1/drain``."""

    @_answered
    def POST(self) -> bytes:  # noqa: N802
        """Take no new work from now on."""
        self._check_token()
        self._instance.leave()
        return _reply({"leaving": True})


class _Metrics(_Part):
    """Serve metrics at ``/metrics``."""

    def GET(self) -> bytes:  # noqa: N802
        """Return all metrics as text."""
        cherrypy.response.headers["Content-Type"] = _TEXT
        return self._instance.context.metrics.text()


class _Live(_Part):
    """Say at ``/livez`` that the process answers."""

    def GET(self) -> bytes:  # noqa: N802
        """Return ok."""
        return _reply({"live": True})


class _Ready(_Part):
    """Say at ``/readyz`` whether callers should be sent here."""

    def GET(self) -> bytes:  # noqa: N802
        """Return 200 when ready, else 503."""
        ready = self._instance.ready()
        return _reply({"ready": ready}, status=200 if ready else 503)


class _Version1(_Part):
    """Hold the resources below ``/v1``."""

    exposed = False

    def __init__(self, instance: Instance) -> None:
        """Build the resources.

        Args:
            instance: The running instance.
        """
        super().__init__(instance)
        self.jobs = _Jobs(instance)
        self.status = _Status(instance)
        self.timeline = _TimeLine(instance)
        self.config = _Config(instance)
        self.drain = _Drain(instance)


class _Root(_Part):
    """Hold all resources and the operators' page."""

    def __init__(self, instance: Instance) -> None:
        """Build the resources.

        Args:
            instance: The running instance.
        """
        super().__init__(instance)
        self.v1 = _Version1(instance)
        self.metrics = _Metrics(instance)
        self.livez = _Live(instance)
        self.readyz = _Ready(instance)

    @_answered
    def GET(self) -> bytes:  # noqa: N802
        """Return the operators' page."""
        cherrypy.response.headers["Content-Type"] = _HTML
        return render_page(self._instance.status.service_status()).encode()
