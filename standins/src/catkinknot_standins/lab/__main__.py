"""Command line of the model: play an experiment, compare two builds, and bound the credit."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import fire

from catkinknot.model.exceptions import BadInputError

from ._arrivals import draw_arrivals
from ._bound import bound_credit
from ._day import play_day
from ._experiment import Experiment, load_experiment
from ._result import compare, summarize


def run(experiment: str, *, out: str = "", jobs: int = 4, seeds: int = 0) -> None:
    """Play an experiment and print a table of its figures.

    Args:
        experiment: Path of the experiment file.
        out: Path of a JSON file for the results, empty for none.
        jobs: Days played at once.
        seeds: Number of seeds, 0 for that of the file.
    """
    found = _load(experiment)
    with ProcessPoolExecutor(jobs) as pool:
        days = pool.map(partial(play_day, found), range(1, (seeds or found.seeds) + 1))
        results = [day.to_json() for day in days]
    if out:
        Path(out).write_text(json.dumps(results))
    for name, mean, half in summarize(results):
        print(f"{name:32} {mean:12.3f} +- {half:.3f}")


def bound(experiment: str, *, jobs: int = 4, seeds: int = 0) -> None:
    """Print what each day earns beside upper bounds of it, and where the rest is lost.

    Args:
        experiment: Path of the experiment file.
        jobs: Days played at once.
        seeds: Number of seeds, 0 for that of the file.
    """
    found = _load(experiment)
    print(f"{'seed':>4} {'kind':12} {'one server':>10} {'servers':>10} {'earned':>10}")
    with ProcessPoolExecutor(jobs) as pool:
        for rows in pool.map(partial(_bound_day, found), range(1, (seeds or found.seeds) + 1)):
            for seed, name, *shares in rows:
                print(f"{seed:4} {name:12} " + " ".join(f"{share:10.3f}" for share in shares))


def _bound_day(experiment: Experiment, seed: int) -> list[tuple[int, str, float, float, float]]:
    """Return the bounds and the credit earned of one day, over all kinds and by kind."""
    arrivals = draw_arrivals(experiment, seed)
    joined = bound_credit(experiment, arrivals, whole_servers=False)
    whole = bound_credit(experiment, arrivals, whole_servers=True)
    day = play_day(experiment, seed)
    rows = [(seed, "all", joined.share, whole.share, day.share)]
    for name, kind in sorted(day.kinds.items()):
        rows.append((seed, name, joined.kinds[name], whole.kinds[name], kind.share))
    return rows


def _load(path: str) -> Experiment:
    """Load an experiment, or exit with the code of what is wrong with it."""
    try:
        return load_experiment(Path(path))
    except BadInputError as exc:
        sys.exit(f"{int(exc.code)} {exc.message}")


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
    fire.Fire({"run": run, "compare": compare_runs, "bound": bound})
