"""Build the timeline of one job from the logs of any number of processes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

__all__ = ["JobTimeline", "explain", "read_lines"]

CONTEXT_BEFORE_S = 5.0
"""Time before a job's first line from which warnings and errors are included."""

_STAGES = (
    ("A submit was answered.", "first answered"),
    ("A step gets servers.", "placed"),
    ("A start was sent.", "start sent"),
    ("A run has ended.", "first run ended"),
    ("A job has ended.", "ended"),
)
"""Texts of the lines at which a job reaches a stage for the first time, and the stages."""

_HEADER_FIELDS = ("time", "level", "instance", "text", "part")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
        time: When the line was written, by the clock of its process.
        instance: Instance that wrote the line.
        part: Part of the process that wrote the line.
        text: The event.
        inputs: Further fields: the inputs of the decision that was logged.
    """

    time: str
    instance: str
    part: str
    text: str
    inputs: dict[str, object]


@dataclass(frozen=True, slots=True)
class Stage:
    """Stage that a job has reached.

    Attributes:
        name: Name of the stage.
        since_first_ms: Time since the job's first line, in milliseconds. Stages
            logged by different processes are as exact as their clocks.
    """

    name: str
    since_first_ms: int


@dataclass(slots=True)
class JobTimeline:
    """Log lines about one job, in the order of their times.

    Attributes:
        job: Id of the job.
        lines: Every line that names the job.
        stages: Stages that the job has reached, in the order of their times.
        around: Warnings and errors of the same period that do not name the job.
        missing: Descriptions of expected lines that the logs lack.
    """

    job: str
    lines: list[LogLine] = field(default_factory=list)
    stages: list[Stage] = field(default_factory=list)
    around: list[LogLine] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)

    def text(self) -> str:
        """Return the timeline as text, with ! before warnings and ? before missing lines."""
        rows = [f"job {self.job}: {len(self.lines)} lines"]
        if self.stages:
            reached = (f"{stage.name} {stage.since_first_ms} ms" for stage in self.stages)
            rows.append(f"  since the first line: {', '.join(reached)}")
        around_ids = {id(line) for line in self.around}
        for line in sorted([*self.lines, *self.around], key=lambda line: line.time):
            mark = "!" if id(line) in around_ids else " "
            inputs = " ".join(f"{name}={value}" for name, value in line.inputs.items())
            rows.append(f"{mark} {line.time} {line.instance} [{line.part}] {line.text} {inputs}")
        rows += [f"? {description}" for description in self.missing]
        return "\n".join(rows)

    def as_json(self) -> dict[str, object]:
        """Return the timeline as an object that can be written as JSON."""
        return {
            "job": self.job,
            "stages_ms": {stage.name: stage.since_first_ms for stage in self.stages},
            "lines": [_as_dict(line) for line in self.lines],
            "around": [_as_dict(line) for line in self.around],
            "missing": self.missing,
        }


def _as_dict(line: LogLine) -> dict[str, object]:
    """Return a line as an object that can be written as JSON."""
    return {
        "time": line.time,
        "instance": line.instance,
        "part": line.part,
        "text": line.text,
        "inputs": line.inputs,
    }


def read_lines(paths: Iterable[Path]) -> list[tuple[str, LogLine]]:
    """Read log files; lines that are not JSON are ignored.

    Args:
        paths: Files with the output of processes; lines may have a prefix.

    Returns:
        Level and line, for each log line.
    """
    lines = []
    for path in paths:
        for raw in path.read_text(errors="replace").splitlines():
            line = _read_line(raw)
            if line is not None:
                lines.append(line)
    return lines


def explain(job: str, lines: Iterable[tuple[str, LogLine]]) -> JobTimeline:
    """Build the timeline of a job.

    Args:
        job: Id of the job, or the first digits of it.
        lines: Levels and lines, as returned by `read_lines`.
    """
    all_lines = list(lines)
    timeline = JobTimeline(job)
    timeline.lines = sorted(
        (line for _, line in all_lines if _mentions(line, job)), key=lambda line: line.time
    )
    if not timeline.lines:
        timeline.missing.append("no process has logged this job; was it ever submitted?")
        return timeline
    timeline.stages = _find_stages(timeline.lines)
    first = _seconds(timeline.lines[0]) - CONTEXT_BEFORE_S
    last = _seconds(timeline.lines[-1])
    timeline.around = [
        line
        for level, line in all_lines
        if level in ("warning", "error")
        and first <= _seconds(line) <= last
        and not _mentions(line, job)
    ]
    texts = {line.text for line in timeline.lines}
    for text, description in (
        ("A submit was answered.", "how its submit was answered"),
        ("A step gets servers.", "that it ever got servers"),
        ("A job has ended.", "its end"),
    ):
        if text not in texts:
            timeline.missing.append(f"the logs do not say {description}")
    return timeline


def _find_stages(lines: list[LogLine]) -> list[Stage]:
    """Return when a job first reached each stage, from its lines in order of time."""
    names = dict(_STAGES)
    reached: dict[str, LogLine] = {}
    for line in lines:
        if line.text in names:
            reached.setdefault(names[line.text], line)
    first_s = _seconds(lines[0])
    return [Stage(name, round(1000 * (_seconds(line) - first_s))) for name, line in reached.items()]


def _seconds(line: LogLine) -> float:
    """Return when a line was written, in seconds since 1970; 0 if its time is invalid."""
    try:
        return datetime.fromisoformat(line.time).timestamp()
    except ValueError:
        return 0.0


def _read_line(raw: str) -> tuple[str, LogLine] | None:
    """Return level and line of a raw log line, or None if it is not one."""
    start = raw.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(raw[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "text" not in fields:
        return None
    inputs = {name: value for name, value in fields.items() if name not in _HEADER_FIELDS}
    line = LogLine(
        time=str(fields.get("time", "")),
        instance=str(fields.get("instance", "")),
        part=str(fields.get("part", "")),
        text=str(fields["text"]),
        inputs=inputs,
    )
    return str(fields.get("level", "")), line


def _mentions(line: LogLine, job: str) -> bool:
    """Return whether a line names a job, also as one of the victims."""
    names = (str(line.inputs.get(name, "")) for name in ("job", "task", "step"))
    victims = line.inputs.get("victims", [])
    return any(name.startswith(job) for name in names) or (
        isinstance(victims, list) and any(str(victim).startswith(job) for victim in victims)
    )
