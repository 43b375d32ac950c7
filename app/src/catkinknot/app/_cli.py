"""Command line with all verbs."""

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
from ._http import InstanceClient
from ._serve import serve as run_serve
from ._tables import print_outcome, print_status, print_timeline

__all__ = ["main"]

_EXIT_OK = 0
_EXIT_FAILED = 1
_EXIT_USAGE = 2
_DEFAULT_ADDRESS = "127.0.0.1:8080"
_LONG_POLL_S = 20
_UNFINISHED_CODES = (ResultCode.ACCEPTED, ResultCode.RUNNING, ResultCode.OUTCOME_UNKNOWN)


def _to_json(obj: object) -> str:
    """Return a value as indented JSON; the option `json` of a verb hides the module."""
    return json.dumps(obj, indent=2)


class Config:
    """Generate, check, publish and show configurations."""

    def generate(self, questionnaire: str, out: str = "") -> None:
        """Generate a configuration from the answers to the questionnaire.

        Example: catkinknot config generate examples/holmgaard-questionnaire.json

        Args:
            questionnaire: The path of a JSON file with the answers.
            out: The path to write the configuration to; standard output by default.
        """
        cfg = generate_config(load_questionnaire(_read(questionnaire)))
        text = json.dumps(to_python(cfg), indent=2) + "\n"
        if out:
            Path(out).write_text(text)
        else:
            sys.stdout.write(text)

    def check(self, file: str) -> None:
        """Check a configuration and list all its faults.

        Example: catkinknot config check examples/holmgaard-config.json

        Args:
            file: The path of a JSON file with the configuration.
        """
        faults = guarantee_faults(check_config(_read(file)))
        if faults:
            raise BadInputError(ResultCode.GUARANTEE_EXCEEDS_FLEET, faults)
        print("The configuration is valid.")

    def publish(
        self,
        file: str,
        at: str = _DEFAULT_ADDRESS,
        base: int = -1,
        operator: str = "",
        token_file: str = "",
    ) -> None:
        """Publish a configuration that replaces the version in force.

        Example: catkinknot config publish examples/holmgaard-config.json --at 127.0.0.1:8080

        Args:
            file: The path of a JSON file with the configuration.
            at: The address of an instance, ip:port or URL.
            base: The version to replace; the version in force by default.
            operator: Your name, recorded with the configuration.
            token_file: The path of a file with the operators' token.
        """
        self.check(file)
        client = InstanceClient(at, token_file=token_file)
        base = _current_version(client) if base < 0 else base
        body = json.loads(_read(file))
        answer = client.post("/v1/config", body, base_version=base, operator=operator)
        print(f"Version {answer['version']} is accepted.")

    def show(self, at: str = _DEFAULT_ADDRESS) -> None:
        """Print the configuration in force.

        Example: catkinknot config show --at 127.0.0.1:8080

        Args:
            at: The address of an instance, ip:port or URL.
        """
        print(json.dumps(InstanceClient(at).get("/v1/config"), indent=2))


class Verbs:
    """Schedule multi-accelerator jobs under workspace guarantees."""

    def __init__(self) -> None:
        """Create the verbs of the group `config`."""
        self.config = Config()

    def serve(self, settings: str) -> None:
        """Run one instance until SIGTERM.

        Example: catkinknot serve --settings settings.json

        Args:
            settings: The path of a JSON file with the settings of the process.
        """
        run_serve(load_settings(settings))

    def instance(self) -> None:
        """Run one instance on the users' platform until SIGTERM.

        The settings file of the platform has the addresses of its services; the
        path of this file is in the environment.

        Example: catkinknot instance
        """
        status = run_node()
        if status:
            raise SystemExit(status)

    def explain(self, job: str, *files: str, json: bool = False) -> None:
        """Explain what happened to one job, from the logs of any number of processes.

        Example: catkinknot explain 5c0e7a21d94b36f8 instance-1.log instance-2.log

        Args:
            job: The identity of the job, or its first digits.
            files: The paths of files with the standard output of processes.
            json: Print JSON.
        """
        try:
            explanation = explain(str(job), read_lines(Path(file) for file in files))
        except OSError as exc:
            raise BadInputError(ResultCode.BAD_USAGE, [str(exc)]) from exc
        print(_to_json(explanation.as_json()) if json else explanation.text())

    def submit(
        self,
        workspace: str,
        kind: str,
        key: str = "",
        caller: str = "anonymous",
        accelerators: int = 1,
        body: Any = "{}",
        at: str = _DEFAULT_ADDRESS,
        detach: bool = False,
        json: bool = False,
    ) -> None:
        """Submit a job and wait for its end.

        Example: catkinknot submit proofs proof --body '{"duration_s": 0.1}'

        Args:
            workspace: The workspace that the job is charged to.
            kind: The kind of work.
            key: Your request key, a new one by default; a key never identifies
                two jobs.
            caller: The name of the caller.
            accelerators: How many adjacent accelerators the job needs at once.
            body: A JSON object that is passed to the backend server.
            at: The address of an instance, ip:port or URL.
            detach: Return without waiting for the end of the job.
            json: Print JSON.
        """
        request = {
            "workspace": str(workspace),
            "kind": str(kind),
            "key": str(key) or uuid.uuid4().hex,
            "caller": str(caller),
            "accelerators": accelerators,
            "body": _parse_body(body),
        }
        client = InstanceClient(at)
        wait_s = 0 if detach else _LONG_POLL_S
        outcome = client.post("/v1/jobs", request, wait_s=wait_s)
        if not detach:
            outcome = _follow(client, outcome)
        _print_and_exit(outcome, json)

    def result(
        self, workspace: str, key: str, at: str = _DEFAULT_ADDRESS, wait: bool = False,
        json: bool = False,
    ) -> None:  # fmt: skip
        """Print the state or the outcome of a job.

        Example: catkinknot result proofs my-key --wait

        Args:
            workspace: The workspace of the job.
            key: The request key of the job.
            at: The address of an instance, ip:port or URL.
            wait: Wait for the end of the job.
            json: Print JSON.
        """
        client = InstanceClient(at)
        outcome = client.get(f"/v1/jobs/{workspace}/{key}", wait_s=_LONG_POLL_S if wait else 0)
        _print_and_exit(_follow(client, outcome) if wait else outcome, json)

    def cancel(
        self, workspace: str, key: str, at: str = _DEFAULT_ADDRESS, json: bool = False
    ) -> None:
        """Cancel a job.

        Example: catkinknot cancel proofs my-key

        Args:
            workspace: The workspace of the job.
            key: The request key of the job.
            at: The address of an instance, ip:port or URL.
            json: Print JSON.
        """
        _print_and_exit(InstanceClient(at).delete(f"/v1/jobs/{workspace}/{key}"), json)

    def status(self, at: str = _DEFAULT_ADDRESS, json: bool = False) -> None:
        """Print whether the service is up, and which kinds of work are down.

        Example: catkinknot status --at 127.0.0.1:8080

        Args:
            at: The address of an instance, ip:port or URL.
            json: Print JSON.
        """
        status = InstanceClient(at).get("/v1/status")
        if json:
            _print_json(status)
        else:
            print_status(status)
        down = [lane for lane in status["lanes"] if lane["state"] == "down"]
        if down or not status["config_version"]:
            sys.exit(_EXIT_FAILED)

    def timeline(
        self,
        job: str = "",
        zone: str = "",
        last_s: float = 0,
        limit: int = 200,
        at: str = _DEFAULT_ADDRESS,
        html: str = "",
        json: bool = False,
    ) -> None:
        """Print the merged events of all instances that answer.

        Example: catkinknot timeline --job proofs/my-key

        Args:
            job: Print only events of this job, given as workspace/key.
            zone: Print only events of this availability zone.
            last_s: Print only events of this many last seconds; 0 for all.
            limit: How many of the newest events to print.
            at: The address of an instance, ip:port or URL.
            html: Write a page with a picture to this path instead.
            json: Print JSON.
        """
        since_s = time.time() - last_s if last_s else 0
        query = {"job": job, "zone": zone, "since_s": since_s, "limit": limit}
        client = InstanceClient(at)
        if html:
            Path(html).write_text(client.text("/v1/timeline", form="html", **query))
            return
        timeline = client.get("/v1/timeline", **query)
        if json:
            _print_json(timeline)
        else:
            print_timeline(timeline)

    def drain(self, at: str = _DEFAULT_ADDRESS, token_file: str = "") -> None:
        """Make an instance refuse new work, before it is stopped.

        Example: catkinknot drain --at 127.0.0.1:8080

        Args:
            at: The address of the instance, ip:port or URL.
            token_file: The path of a file with the operators' token.
        """
        InstanceClient(at, token_file=token_file).post("/v1/drain", {})
        print("The instance is leaving.")


def main() -> None:
    """Run a verb; exit with 0 on success, 1 if refused or failed, 2 on wrong usage."""
    try:
        fire.Fire(Verbs(), name="catkinknot")
    except BadInputError as exc:
        for fault in exc.faults:
            print(f"{int(exc.code)} {exc.code.name}: {fault}", file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    except CatkinknotError as exc:
        print(f"{int(exc.code)} {exc.code.name}: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_FAILED)
    except FireExit as exc:
        sys.exit(_EXIT_USAGE if exc.code else _EXIT_OK)
    except KeyboardInterrupt:
        sys.exit(_EXIT_FAILED)


def _read(path: str) -> str:
    """Return the text of a file that the user named."""
    try:
        return Path(str(path)).read_text()
    except OSError as exc:
        raise BadInputError(ResultCode.BAD_USAGE, [f"{path}: {exc.strerror}"]) from None
    except UnicodeDecodeError:
        raise BadInputError(ResultCode.BAD_JSON, [f"{path}: not UTF-8 text"]) from None


def _parse_body(body: Any) -> dict[str, Any]:
    """Return the body of a job as a dictionary; Fire may have parsed it already."""
    if isinstance(body, str):
        try:
            body = json.loads(body)
        except ValueError as exc:
            raise BadInputError(ResultCode.BAD_JSON, [f"body: {exc}"]) from None
    if not isinstance(body, dict):
        raise BadInputError(ResultCode.BAD_FIELD, ["body: must be a JSON object"])
    return body


def _current_version(client: InstanceClient) -> int:
    """Return the version in force, 0 if there is no configuration."""
    try:
        return client.get("/v1/config")["version"]
    except CatkinknotError as exc:
        if exc.code is ResultCode.NO_CONFIG:
            return 0
        raise


def _follow(client: InstanceClient, outcome: dict[str, Any]) -> dict[str, Any]:
    """Poll a job until it has ended, and print a progress line before each poll."""
    began_s = time.monotonic()
    path = f"/v1/jobs/{outcome['workspace']}/{outcome['key']}"
    while ResultCode(outcome["code"]) in _UNFINISHED_CODES:
        waited = f"{time.monotonic() - began_s:.0f} s"
        print(f"... {outcome['name'].lower()}, {waited}", file=sys.stderr)
        outcome = client.get(path, wait_s=_LONG_POLL_S)
    return outcome


def _print_and_exit(outcome: dict[str, Any], as_json: bool) -> None:
    """Print the state or outcome of a job, and exit with the matching status."""
    if as_json:
        _print_json(outcome)
    else:
        print_outcome(outcome)
    code = ResultCode(outcome["code"])
    good = code in (*_UNFINISHED_CODES, ResultCode.DONE, ResultCode.CANCELLED, ResultCode.STOPPED)
    sys.exit(_EXIT_OK if good and code_info(code).http_status < 300 else _EXIT_FAILED)


def _print_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    print(json.dumps(value))
