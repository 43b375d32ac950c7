"""Model of whole days: the real planner and cluster state against a modelled fleet."""

from ._arrivals import Arrival, draw_arrivals
from ._bound import CreditBound, bound_credit
from ._day import play_day
from ._experiment import Burst, Experiment, Fleet, Kind, load_experiment
from ._result import DayResult, KindResult, compare, summarize

__all__ = [
    "Arrival",
    "Burst",
    "CreditBound",
    "DayResult",
    "Experiment",
    "Fleet",
    "Kind",
    "KindResult",
    "bound_credit",
    "compare",
    "draw_arrivals",
    "load_experiment",
    "play_day",
    "summarize",
]
