"""Test the model of whole days on a small fleet."""

import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from catkinknot.jobs import Resources
from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError
from catkinknot_standins.lab import (
    bound_credit,
    compare,
    draw_arrivals,
    load_experiment,
    play_day,
    summarize,
)
from catkinknot_standins.lab._arrivals import START_S

ROOT = Path(__file__).resolve().parent.parent
KIND = {
    "priority": 0, "per_s": 2.0, "worth": 4.0, "late_worth": 1.0, "tasks": 2, "max_tasks": 4,
    "run_s": 1.0, "max_run_s": 2.0, "cpu_milli": 1000, "memory_mb": 1000, "stretch": 3.0,
    "accelerators": [1, 2], "gang": 0.5, "checkpoints": 0.5, "fails": 0.1,
}  # fmt: skip
SMALL = {
    "name": "small", "length_s": 6, "settle_s": 12, "workspaces": 2, "seeds": 2,
    "fleet": {"servers": 4, "per_rack": 2},
    "kinds": [KIND | {"name": "urgent"}, KIND | {"name": "other", "priority": 1, "tasks": 3}],
    "bursts": [{"at_s": 1, "for_s": 2, "factor": 3, "kind": "other"}],
}  # fmt: skip


class TestLab(unittest.TestCase):
    """Experiments, modelled days and comparisons."""

    def _load(self, body: dict):
        """Load an experiment from a file with a body."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "experiment.json"
            path.write_text(json.dumps(body))
            return load_experiment(path)

    def test_examples_can_be_read(self) -> None:
        """Every experiment file of the examples is valid."""
        files = sorted((ROOT / "examples" / "lab").glob("*.json"))
        self.assertTrue(files)
        for path in files:
            with self.subTest(file=path.name):
                load_experiment(path)

    def test_gangs_of_one_rack_fit_one(self) -> None:
        """A gang that no rack can hold does not prefer one; it could never meet its objective."""
        kind = KIND | {"name": "wide", "gang": 1.0, "one_rack": 1.0, "tasks": 12, "max_tasks": 40}
        experiment = self._load(SMALL | {"kinds": [kind | {"accelerators": [8]}], "bursts": []})
        steps = [
            arrival.job.steps[0]
            for seed in range(20)
            for arrival in draw_arrivals(experiment, seed)
        ]
        wide = [step for step in steps if step.count > experiment.fleet.per_rack]
        self.assertTrue(wide)
        self.assertFalse(any(step.one_rack for step in wide))
        self.assertTrue(all(step.one_rack for step in steps if step not in wide))

    def _same_jobs(self, experiment, jobs: int, **step):
        """Return equal jobs that all arrive at the beginning of the day."""
        first = draw_arrivals(experiment, 1)[0]
        changed = replace(first.job.steps[0], **step)
        job = replace(first.job, steps=(changed,))
        return [replace(first, at_s=START_S, job=job, run_s=1.0)] * jobs

    def test_bound_of_a_crowd(self) -> None:
        """Of four jobs that each need the whole fleet, as many earn all as fit in the objective.

        Each runs for 1 s and has an objective of 3 s, so three are in time and
        the fourth earns its late credit.
        """
        experiment = self._load(SMALL | {"bursts": []})
        need = Resources(1000, 1000, 8)
        jobs = self._same_jobs(experiment, 4, count=4, need=need)
        bound = bound_credit(experiment, jobs, whole_servers=True)
        late = jobs[0].late_worth / jobs[0].worth
        self.assertAlmostEqual(bound.share, (3 + late) / 4, places=6)

    def test_bound_of_fragments(self) -> None:
        """Two tasks of more than half a server take two servers, though the rest stays unused."""
        experiment = self._load(SMALL | {"bursts": []})
        jobs = self._same_jobs(experiment, 4, count=4, need=Resources(1000, 1000, 5))
        joined = bound_credit(experiment, jobs, whole_servers=False)
        whole = bound_credit(experiment, jobs, whole_servers=True)
        self.assertAlmostEqual(joined.share, 1.0, places=6)
        self.assertLess(whole.share, 1.0)

    def test_no_day_earns_more_than_its_bound(self) -> None:
        """A played day earns at most the bound, for several seeds of a crowded fleet."""
        kinds = [KIND | {"name": name, "per_s": 6.0, "accelerators": [4, 8]} for name in "ab"]
        experiment = self._load(SMALL | {"kinds": kinds, "bursts": []})
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                arrivals = draw_arrivals(experiment, seed)
                bound = bound_credit(experiment, arrivals, whole_servers=True)
                day = play_day(experiment, seed)
                self.assertLess(bound.share, 1.0)
                self.assertLessEqual(day.share, bound.share + 1e-6)

    def test_invalid_experiments(self) -> None:
        """An invalid file gives an error with a code that names the field."""
        cases = {
            "servers": SMALL | {"fleet": {"servers": 0}},
            "length_s": {key: value for key, value in SMALL.items() if key != "length_s"},
            "colour": SMALL | {"colour": "red"},
            "unknown kinds": SMALL | {"bursts": [SMALL["bursts"][0] | {"kind": "none"}]},
            "same name": SMALL | {"kinds": [SMALL["kinds"][0]] * 2},
        }
        for text, body in cases.items():
            with self.subTest(fault=text):
                with self.assertRaises(BadInputError) as caught:
                    self._load(body)
                self.assertEqual(caught.exception.code, ResultCode.BAD_SETTINGS)
                self.assertIn(text, caught.exception.message)
        with self.assertRaises(BadInputError):
            load_experiment(ROOT / "no-such-file.json")

    def test_seed_decides(self) -> None:
        """Equal seeds draw equal jobs; other seeds draw others."""
        experiment = self._load(SMALL)
        self.assertEqual(draw_arrivals(experiment, 1), draw_arrivals(experiment, 1))
        self.assertNotEqual(draw_arrivals(experiment, 1), draw_arrivals(experiment, 2))

    def test_burst(self) -> None:
        """A burst multiplies the jobs of its kind only, for as long as it lasts."""
        experiment = self._load(SMALL)
        counts = {("other", True): 0, ("other", False): 0, ("urgent", True): 0}
        for seed in range(60):
            for arrival in draw_arrivals(experiment, seed):
                at_s = arrival.at_s - 1000.0
                key = arrival.kind.name, 1 <= at_s < 3
                counts[key] = counts.get(key, 0) + 1
        self.assertGreater(counts["other", True], counts["other", False])
        self.assertGreater(counts["other", True], 2 * counts["urgent", True])

    def test_day(self) -> None:
        """On a day with room for all, nearly all jobs end within their objective."""
        experiment = self._load(SMALL | {"fleet": {"servers": 40}, "bursts": []})
        result = play_day(experiment, 1)
        self.assertGreater(result.share, 0.8)
        self.assertGreaterEqual(result.started, sum(kind.jobs for kind in result.kinds.values()))
        for kind in result.kinds.values():
            self.assertLess(kind.p50_start_s, 0.5)

    def test_crowded_day(self) -> None:
        """On a day without room for all, less urgent work waits for the urgent one."""
        experiment = self._load(SMALL | {"fleet": {"servers": 1}})
        result = play_day(experiment, 1)
        self.assertLess(result.share, 0.9)
        self.assertLess(result.kinds["urgent"].p50_start_s, result.kinds["other"].p50_start_s)

    def test_compare(self) -> None:
        """Results are compared seed by seed; equal results do not differ."""
        experiment = self._load(SMALL)
        results = [play_day(experiment, seed).to_json() for seed in (1, 2)]
        for _, _, difference, half in compare(results, results):
            self.assertEqual((difference, half), (0.0, 0.0))
        names = [name for name, _, _ in summarize(results)]
        self.assertEqual(names, [row[0] for row in compare(results, results)])
        self.assertEqual(compare(results[:1], results[1:]), [])


if __name__ == "__main__":
    unittest.main()
