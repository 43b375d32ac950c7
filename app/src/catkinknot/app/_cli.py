"""Offer every verb on the command line."""

import json
import sys
import time
import uuid
from pathlib import Path
from typing import Any

import fire
from fire.core import FireExit

from catkinknot.model import (
    ResultCode,
    check_config,
    code_info,
    generate_config,
    load_questionnaire,
    load_settings,
    to_python,
)
from catkinknot.model.exceptions import BadInputError, CatkinknotError
from catkinknot.node import explain, read_lines, run_node

from ._config_service import guarantee_faults
from ._front import Front
from ._serve import serve as run_serve
from ._tables import print_outcome, print_status, print_timeline

__all__ = ["main"]

_DONE = 0
_FAILED = 1
_BAD_USE = 2
_DEFAULT_AT = "127.0.0.1:8080"
_WAIT_S = 20
_OPEN = (ResultCode.ACCEPTED, ResultCode.RUNNING, ResultCode.OUTCOME_UNKNOWN)


def _to_json(found: object) -> str:
    """Write something for programs; the verbs' own option hides the module."""
    return json.dumps(found, indent=2)


class Config:
    """Generate, check, publish and show configurations."""

    def generate(self, questionnaire: str, out: str = "") -> None:
        """Generate a configuration from the answers to the questionnaire.

        Example: catkinknot config generate examples/holmgaard-questionnaire.json

        Args:
            questionnaire: A JSON file with the answers.
            out: Where to write the configuration; standard output by default.
        """
        cfg = generate_config(load_questionnaire(_read(questionnaire)))
        text = json.dumps(to_python(cfg), indent=2) + "\n"
        if out:
            Path(out).write_text(text)
        else:
            sys.stdout.write(text)

    def check(self, file: str) -> None:
        """Check a configuration and list every fault.

        Example: catkinknot config check examples/holmgaard-config.json

        Args:
            file: A JSON file with the configuration.
        """
        faults = guarantee_faults(check_config(_read(file)))
        if faults:
            raise BadInputError(ResultCode.GUARANTEE_EXCEEDS_FLEET, faults)
        print("The configuration is right.")

    def publish(
        self,
        file: str,
        at: str = _DEFAULT_AT,
        base: int = -1,
        operator: str = "",
        token_file: str = "",
    ) -> None:
        """Publish a configuration in place of the version that is in force.

        Example: catkinknot config publish examples/holmgaard-config.json --at 127.0.0.1:8080

        Args:
            file: A JSON file with the configuration.
            at: Where an instance listens.
            base: The version to replace, the one in force by default.
            operator: Your name, for the record.
            token_file: A file with the operators' token.
        """
        self.check(file)
        front = Front(at, token_file=token_file)
        base = _present_version(front) if base < 0 else base
        body = json.loads(_read(file))
        answer = front.post("/v1/config", body, base_version=base, operator=operator)
        print(f"Version {answer['version']} is accepted.")

    def show(self, at: str = _DEFAULT_AT) -> None:
        """Show the configuration in force.

        Example: catkinknot config show --at 127.0.0.1:8080

        Args:
            at: Where an instance listens.
        """
        print(json.dumps(Front(at).get("/v1/config"), indent=2))


class Verbs:
    """Schedule multi-accelerator jobs under workspace guarantees."""

    def __init__(self) -> None:
        """Build the nested verbs."""
        self.config = Config()

    def serve(self, settings: str) -> None:
        """Run one instance until SIGTERM.

        Example: catkinknot serve --settings settings.json

        Args:
            settings: A JSON file with the settings of the process.
        """
        run_serve(load_settings(settings))

    def instance(self) -> None:
        """Run one instance on the users' platform until SIGTERM.

        The platform's settings file says where everything is; its path is in
        the environment.

        Example: catkinknot instance
        """
        status = run_node()
        if status:
            raise SystemExit(status)

    def explain(self, job: str, *files: str, json: bool = False) -> None:
        """Tell one job's story from the logs of any number of processes.

        Example: catkinknot explain 5c0e7a21d94b36f8 instance-1.log instance-2.log

        Args:
            job: Its identity, or the first digits of it.
            files: Files with the standard output of processes.
            json: Print for programs.
        """
        try:
            story = explain(str(job), read_lines(Path(file) for file in files))
        except OSError as exc:
            raise BadInputError(ResultCode.BAD_USAGE, [str(exc)]) from exc
        print(_to_json(story.as_json()) if json else story.text())

    def submit(
        self,
        workspace: str,
        kind: str,
        key: str = "",
        caller: str = "anonymous",
        accelerators: int = 1,
        body: Any = "{}",
        at: str = _DEFAULT_AT,
        detach: bool = False,
        json: bool = False,
    ) -> None:
        """Submit a job and wait for its end.

        Example: catkinknot submit proofs proof --body '{"duration_s": 0.1}'

        Args:
            workspace: The workspace that pays.
            kind: The kind of work.
            key: Your request key, a new one by default; the same key never
                stands for two jobs.
            caller: Who asks.
            accelerators: Adjacent accelerators needed at once.
            body: A JSON object for the backend server.
            at: Where an instance listens.
            detach: Do not wait for the end.
            json: Print JSON.
        """
        request = {
            "workspace": str(workspace),
            "kind": str(kind),
            "key": str(key) or uuid.uuid4().hex,
            "caller": str(caller),
            "accelerators": accelerators,
            "body": _object(body),
        }
        front = Front(at)
        wait_s = 0 if detach else _WAIT_S
        outcome = front.post("/v1/jobs", request, wait_s=wait_s)
        if not detach:
            outcome = _follow(front, outcome)
        _finish(outcome, json)

    def result(
        self, workspace: str, key: str, at: str = _DEFAULT_AT, wait: bool = False,
        json: bool = False,
    ) -> None:  # fmt: skip
        """Say how a job stands or ended.

        Example: catkinknot result proofs my-key --wait

        Args:
            workspace: The job's workspace.
            key: Its request key.
            at: Where an instance listens.
            wait: Wait for its end.
            json: Print JSON.
        """
        front = Front(at)
        outcome = front.get(f"/v1/jobs/{workspace}/{key}", wait_s=_WAIT_S if wait else 0)
        _finish(_follow(front, outcome) if wait else outcome, json)

    def cancel(self, workspace: str, key: str, at: str = _DEFAULT_AT, json: bool = False) -> None:
        """Cancel a job.

        Example: catkinknot cancel proofs my-key

        Args:
            workspace: The job's workspace.
            key: Its request key.
            at: Where an instance listens.
            json: Print JSON.
        """
        _finish(Front(at).delete(f"/v1/jobs/{workspace}/{key}"), json)

    def status(self, at: str = _DEFAULT_AT, json: bool = False) -> None:
        """Answer "is it down?".

        Example: catkinknot status --at 127.0.0.1:8080

        Args:
            at: Where an instance listens.
            json: Print JSON.
        """
        status = Front(at).get("/v1/status")
        if json:
            _print_json(status)
        else:
            print_status(status)
        down = [lane for lane in status["lanes"] if lane["state"] == "down"]
        if down or not status["config_version"]:
            sys.exit(_FAILED)

    def timeline(
        self,
        job: str = "",
        zone: str = "",
        last_s: float = 0,
        limit: int = 200,
        at: str = _DEFAULT_AT,
        html: str = "",
        json: bool = False,
    ) -> None:
        """Merge the events of all instances that answer.

        Example: catkinknot timeline --job proofs/my-key

        Args:
            job: Only this job, as workspace/key.
            zone: Only this availability zone.
            last_s: Only the last so many seconds.
            limit: The newest so many.
            at: Where an instance listens.
            html: Write a picture to this file instead.
            json: Print JSON.
        """
        since_s = time.time() - last_s if last_s else 0
        query = {"job": job, "zone": zone, "since_s": since_s, "limit": limit}
        front = Front(at)
        if html:
            Path(html).write_text(front.text("/v1/timeline", form="html", **query))
            return
        line = front.get("/v1/timeline", **query)
        if json:
            _print_json(line)
        else:
            print_timeline(line)

    def drain(self, at: str = _DEFAULT_AT, token_file: str = "") -> None:
        """Let an instance take no new work, before it is stopped.

        Example: catkinknot drain --at 127.0.0.1:8080

        Args:
            at: Where the instance listens.
            token_file: A file with the operators' token.
        """
        Front(at, token_file=token_file).post("/v1/drain", {})
        print("The instance is leaving.")


def main() -> None:
    """Run a verb; exit with 0 for done, 1 for refused or failed, 2 for bad use."""
    try:
        fire.Fire(Verbs(), name="catkinknot")
    except BadInputError as exc:
        for fault in exc.faults:
            print(f"{int(exc.code)} {exc.code.name}: {fault}", file=sys.stderr)
        sys.exit(_BAD_USE)
    except CatkinknotError as exc:
        print(f"{int(exc.code)} {exc.code.name}: {exc.message}", file=sys.stderr)
        sys.exit(_FAILED)
    except FireExit as exc:
        sys.exit(_BAD_USE if exc.code else _DONE)
    except KeyboardInterrupt:
        sys.exit(_FAILED)


def _read(path: str) -> str:
    """Read a file that the user named."""
    try:
        return Path(str(path)).read_text()
    except OSError as exc:
        raise BadInputError(ResultCode.BAD_USAGE, [f"{path}: {exc.strerror}"]) from None
    except UnicodeDecodeError:
        raise BadInputError(ResultCode.BAD_JSON, [f"{path}: not UTF-8 text"]) from None


def _object(body: Any) -> dict[str, Any]:
    """Read the body of a job; Fire may have parsed it already."""
    if isinstance(body, str):
        try:
            body = json.loads(body)
        except ValueError as exc:
            raise BadInputError(ResultCode.BAD_JSON, [f"body: {exc}"]) from None
    if not isinstance(body, dict):
        raise BadInputError(ResultCode.BAD_FIELD, ["body: a JSON object is wanted"])
    return body


def _present_version(front: Front) -> int:
    """Return the version in force, 0 for none."""
    try:
        return front.get("/v1/config")["version"]
    except CatkinknotError as exc:
        if exc.code is ResultCode.NO_CONFIG:
            return 0
        raise


def _follow(front: Front, outcome: dict[str, Any]) -> dict[str, Any]:
    """Ask again until a job has ended, with a progress line."""
    began = time.monotonic()
    path = f"/v1/jobs/{outcome['workspace']}/{outcome['key']}"
    while ResultCode(outcome["code"]) in _OPEN:
        waited = f"{time.monotonic() - began:.0f} s"
        print(f"... {outcome['name'].lower()}, {waited}", file=sys.stderr)
        outcome = front.get(path, wait_s=_WAIT_S)
    return outcome


def _finish(outcome: dict[str, Any], as_json: bool) -> None:
    """Print how a job stands or ended, and exit accordingly."""
    if as_json:
        _print_json(outcome)
    else:
        print_outcome(outcome)
    code = ResultCode(outcome["code"])
    good = code in (*_OPEN, ResultCode.DONE, ResultCode.CANCELLED, ResultCode.STOPPED)
    sys.exit(_DONE if good and code_info(code).http_status < 300 else _FAILED)


def _print_json(value: Any) -> None:
    """Print a value for programs."""
    print(json.dumps(value))
