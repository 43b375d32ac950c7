"""Tell one job's story from the logs of any number of processes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

__all__ = ["JobTimeline", "explain", "read_lines"]

AROUND_S = 5.0
"""Trouble this long before a job's first line is shown too."""

_HIDDEN = ("time", "level", "instance", "text", "part")


@dataclass(frozen=True, slots=True)
class Line:
    """Hold one log line.

    Attributes:
        time: When it was written, by that process's clock.
        instance: Who wrote it.
        part: Which part of the process.
        text: What happened.
        inputs: What decided it.
    """

    time: str
    instance: str
    part: str
    text: str
    inputs: dict[str, object]


@dataclass(slots=True)
class JobTimeline:
    """Hold what is known of one job.

    Attributes:
        job: Its identity.
        lines: Every line that names it, in the order of their times.
        around: Lines of trouble between its first and its last line.
        missing: What a complete story would also have.
    """

    job: str
    lines: list[Line] = field(default_factory=list)
    around: list[Line] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)

    def text(self) -> str:
        """Return the story for a person."""
        rows = [f"job {self.job}: {len(self.lines)} lines"]
        trouble = {id(line) for line in self.around}
        for line in sorted([*self.lines, *self.around], key=lambda one: one.time):
            mark = "!" if id(line) in trouble else " "
            inputs = " ".join(f"{name}={value}" for name, value in line.inputs.items())
            rows.append(f"{mark} {line.time} {line.instance} [{line.part}] {line.text} {inputs}")
        rows += [f"? {what}" for what in self.missing]
        return "\n".join(rows)

    def as_json(self) -> dict[str, object]:
        """Return the story for a program."""
        return {
            "job": self.job,
            "lines": [_as_dict(line) for line in self.lines],
            "around": [_as_dict(line) for line in self.around],
            "missing": self.missing,
        }


def _as_dict(line: Line) -> dict[str, object]:
    """Return a line for a program."""
    return {
        "time": line.time,
        "instance": line.instance,
        "part": line.part,
        "text": line.text,
        "inputs": line.inputs,
    }


def read_lines(paths: Iterable[Path]) -> list[tuple[str, Line]]:
    """Read log files; what is no JSON line is passed over.

    Args:
        paths: Files with the output of processes, also with a prefix before
            each line.

    Returns:
        The level and the line of each.
    """
    found = []
    for path in paths:
        for raw in path.read_text(errors="replace").splitlines():
            line = _read_line(raw)
            if line is not None:
                found.append(line)
    return found


def explain(job: str, lines: Iterable[tuple[str, Line]]) -> JobTimeline:
    """Tell the story of a job.

    Args:
        job: Its identity, or the first digits of it.
        lines: What `read_lines` found.
    """
    known = list(lines)
    story = JobTimeline(job)
    story.lines = sorted((line for _, line in known if _names(line, job)), key=lambda one: one.time)
    if not story.lines:
        story.missing.append("no process has logged this job; was it ever handed in?")
        return story
    first = _seconds(story.lines[0]) - AROUND_S
    last = _seconds(story.lines[-1])
    story.around = [
        line
        for level, line in known
        if level in ("warning", "error")
        and first <= _seconds(line) <= last
        and not _names(line, job)
    ]
    texts = {line.text for line in story.lines}
    for text, what in (
        ("A submit was answered.", "how its submit was answered"),
        ("A step gets servers.", "that it ever got servers"),
        ("A job has ended.", "its end"),
    ):
        if text not in texts:
            story.missing.append(f"the logs do not say {what}")
    return story


def _seconds(line: Line) -> float:
    """Return when a line was written, in seconds since 1970; 0 if it does not say."""
    try:
        return datetime.fromisoformat(line.time).timestamp()
    except ValueError:
        return 0.0


def _read_line(raw: str) -> tuple[str, Line] | None:
    """Read one line."""
    start = raw.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(raw[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "text" not in fields:
        return None
    inputs = {name: value for name, value in fields.items() if name not in _HIDDEN}
    line = Line(
        time=str(fields.get("time", "")),
        instance=str(fields.get("instance", "")),
        part=str(fields.get("part", "")),
        text=str(fields["text"]),
        inputs=inputs,
    )
    return str(fields.get("level", "")), line


def _names(line: Line, job: str) -> bool:
    """Tell whether a line is about a job."""
    named = (str(line.inputs.get(name, "")) for name in ("job", "task", "step"))
    victims = line.inputs.get("victims", [])
    return any(one.startswith(job) for one in named) or (
        isinstance(victims, list) and any(str(one).startswith(job) for one in victims)
    )
