"""Upper bound of the credit of a modelled day, from a linear program.

The program may divide tasks at will, stop and resume them without loss, and
knows all arrivals in advance. No scheduler can earn more.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from ._arrivals import START_S, Arrival
from ._experiment import Experiment

__all__ = ["CreditBound", "bound_credit"]

SLOT_S = 0.5
"""Length of a time slot; a shorter one changes the bound little and takes longer."""

LATE_FACTOR = 3
"""Multiple of the objective until which a job still earns its late credit."""


@dataclass(frozen=True, slots=True)
class CreditBound:
    """Most credit that a day can earn.

    Attributes:
        share: Credit, relative to the credit of all jobs in time.
        kinds: The same by kind, in one best solution.
    """

    share: float
    kinds: dict[str, float]


@dataclass(slots=True)
class _Rows:
    """Rows of a sparse system of inequalities."""

    row: list[int] = field(default_factory=list)
    column: list[int] = field(default_factory=list)
    factor: list[float] = field(default_factory=list)
    limits: list[float] = field(default_factory=list)

    def add(self, entries: Iterable[tuple[int, float]], limit: float) -> None:
        """Add a row: the sum of the columns times their factors is at most the limit."""
        for column, factor in entries:
            self.row.append(len(self.limits))
            self.column.append(column)
            self.factor.append(factor)
        self.limits.append(limit)

    def matrix(self, columns: int) -> coo_array:
        """Return the factors as a matrix."""
        shape = (len(self.limits), columns)
        return coo_array((self.factor, (self.row, self.column)), shape=shape)


def bound_credit(
    experiment: Experiment, arrivals: list[Arrival], *, whole_servers: bool
) -> CreditBound:
    """Return an upper bound of the credit of a day.

    Args:
        experiment: The fleet and the length of the day.
        arrivals: The jobs of the day.
        whole_servers: Whether two tasks that each need more than half of a
            resource of a server take two servers. Without it the fleet is one
            large server, so the difference is what fragments cost.
    """
    program = _Program(experiment, arrivals, whole_servers=whole_servers)
    earned = program.solve()
    owed = sum(arrival.worth for arrival in arrivals)
    kinds = {}
    for name in {arrival.kind.name for arrival in arrivals}:
        members = [n for n, arrival in enumerate(arrivals) if arrival.kind.name == name]
        kinds[name] = sum(earned[n] for n in members) / sum(arrivals[n].worth for n in members)
    return CreditBound(sum(earned) / owed, kinds)


class _Program:
    """Linear program of a day.

    For each job there is the share that ends in time, the share that ends
    late, and for each of them the work in each slot of its window, in seconds
    of a task.
    """

    def __init__(
        self, experiment: Experiment, arrivals: list[Arrival], *, whole_servers: bool
    ) -> None:
        """Write the inequalities.

        Args:
            experiment: The fleet and the length of the day.
            arrivals: The jobs of the day.
            whole_servers: Whether large tasks take a server each.
        """
        self._arrivals = arrivals
        self._slots = int((experiment.length_s + experiment.settle_s) / SLOT_S)
        self._rows = _Rows()
        self._columns = 0
        self._work: list[list[tuple[int, int]]] = [[] for _ in range(self._slots)]
        self._in_time, self._late = zip(*map(self._add_job, range(len(arrivals))), strict=True)
        self._limit_fleet(experiment, whole_servers)

    def solve(self) -> list[float]:
        """Return the credit of each job in a best solution."""
        credit = np.zeros(self._columns)
        for n, arrival in enumerate(self._arrivals):
            credit[self._in_time[n]] = arrival.worth
            credit[self._late[n]] = arrival.late_worth
        found = linprog(
            -credit, A_ub=self._rows.matrix(self._columns), b_ub=self._rows.limits, method="highs"
        )
        if found.x is None:
            raise RuntimeError(f"the linear program was not solved: {found.message}")
        return [
            float(found.x[self._in_time[n]] * arrival.worth
                  + found.x[self._late[n]] * arrival.late_worth)
            for n, arrival in enumerate(self._arrivals)
        ]  # fmt: skip

    def _add_column(self) -> int:
        """Add a variable, and return its column."""
        self._columns += 1
        return self._columns - 1

    def _add_job(self, n: int) -> tuple[int, int]:
        """Add the variables of a job; return those of its shares in time and late."""
        arrival = self._arrivals[n]
        begin_s = arrival.at_s - START_S
        count = arrival.job.steps[0].count
        in_time, late = self._add_column(), self._add_column()
        self._rows.add([(in_time, 1.0), (late, 1.0)], 1.0)
        by_slot: dict[int, list[int]] = {}
        for share, factor in ((in_time, 1), (late, LATE_FACTOR)):
            end_s = begin_s + factor * arrival.objective_s
            work = []
            for slot in range(int(begin_s / SLOT_S), min(self._slots, math.ceil(end_s / SLOT_S))):
                column = self._add_column()
                work.append((column, -1.0))
                by_slot.setdefault(slot, []).append(column)
                self._work[slot].append((column, n))
            self._rows.add([(share, count * arrival.run_s), *work], 0.0)
        for columns in by_slot.values():
            self._rows.add([(column, 1.0) for column in columns], count * SLOT_S)
        return in_time, late

    def _limit_fleet(self, experiment: Experiment, whole_servers: bool) -> None:
        """Limit the work of each slot by the resources and the number of servers."""
        fleet = experiment.fleet
        server = (fleet.cores * 1000, fleet.memory_mb, fleet.accelerators)
        for work in self._work:
            for resource, capacity in enumerate(server):
                needs = [
                    (column, float(self._arrivals[n].job.steps[0].need[resource]))
                    for column, n in work
                ]
                self._rows.add(needs, fleet.servers * capacity * SLOT_S)
                if whole_servers:
                    large = [(column, 1.0) for column, need in needs if 2 * need > capacity]
                    self._rows.add(large, fleet.servers * SLOT_S)
