"""Command line of the model: play an experiment, and compare two builds of the planner."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import fire

from catkinknot.model.exceptions import BadInputError

from ._day import play_day
from ._experiment import load_experiment
from ._result import compare, summarize


def run(experiment: str, *, out: str = "", jobs: int = 4, seeds: int = 0) -> None:
    """Play an experiment and print a table of its figures.

    Args:
        experiment: Path of the experiment file.
        out: Path of a JSON file for the results, empty for none.
        jobs: Days played at once.
        seeds: Number of seeds, 0 for that of the file.
    """
    try:
        found = load_experiment(Path(experiment))
    except BadInputError as exc:
        sys.exit(f"{int(exc.code)} {exc.message}")
    with ProcessPoolExecutor(jobs) as pool:
        days = pool.map(partial(play_day, found), range(1, (seeds or found.seeds) + 1))
        results = [day.to_json() for day in days]
    if out:
        Path(out).write_text(json.dumps(results))
    for name, mean, half in summarize(results):
        print(f"{name:32} {mean:12.3f} +- {half:.3f}")


def compare_runs(before: str, after: str) -> None:
    """Print the differences between the results of two builds on the same seeds.

    Args:
        before: Path of the results of the first build.
        after: Path of the results of the second build.
    """
    rows = compare(json.loads(Path(before).read_text()), json.loads(Path(after).read_text()))
    for name, mean, difference, half in rows:
        print(f"{name:32} {mean:12.3f} {difference:+12.3f} +- {half:.3f}")


if __name__ == "__main__":
    fire.Fire({"run": run, "compare": compare_runs})
