"""Turn a team's answers to the questionnaire into a configuration."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from ._check import STRICT, check_json
from ._codes import ResultCode
from ._config import (
    Configuration,
    GuaranteedShape,
    Kind,
    Name,
    Workspace,
    Zone,
    config_faults,
)
from .exceptions import BadInputError

__all__ = ["Questionnaire", "generate_config", "load_questionnaire"]

_URGENCY = {"now": 9, "soon": 6, "today": 3, "whenever": 0}


@dataclass(frozen=True, config=STRICT)
class KindAnswer:
    """Answer the questions about one kind of work.

    Attributes:
        name: What do you call it?
        how_soon: When is the answer needed?
        answer_within_s: After how many seconds is the answer useless?
        usually_takes_s: How many seconds does it usually take?
        running_twice_does_harm: Does a second run cost or confuse anybody?
        can_continue_after_a_stop: Can it go on where it was stopped?
        must_never_be_lost: Does losing one hurt?
        most_accelerators: How many accelerators does the largest one need?
        may_span_racks: May one of them span neighbouring racks?
        keeps_share: Which part of a zone must it keep when other work floods in?
    """

    name: Name
    how_soon: Literal["now", "soon", "today", "whenever"]
    answer_within_s: Annotated[float, Field(gt=0)]
    usually_takes_s: Annotated[float, Field(gt=0)]
    running_twice_does_harm: bool
    can_continue_after_a_stop: bool
    must_never_be_lost: bool
    most_accelerators: Annotated[int, Field(ge=1)]
    may_span_racks: bool = False
    keeps_share: Annotated[float, Field(ge=0, le=1)] = 0.0


@dataclass(frozen=True, config=STRICT)
class TeamAnswer:
    """Answer the questions about one team.

    Attributes:
        name: What is the team called?
        always_needs: How many blocks of how many accelerators, in each zone?
        share: How much of the spare room, against the other teams?
    """

    name: Name
    always_needs: tuple[tuple[Annotated[int, Field(ge=1)], Annotated[int, Field(ge=1)]], ...] = ()
    share: Annotated[float, Field(gt=0)] = 1.0


@dataclass(frozen=True, config=STRICT)
class Questionnaire:
    """Hold all answers of one deployment.

    Attributes:
        deployment: What is the deployment called?
        zones: Which availability zones are there, and with which servers?
        kinds: Which kinds of work?
        teams: Which teams?
    """

    deployment: Name
    zones: tuple[Zone, ...]
    kinds: tuple[KindAnswer, ...]
    teams: tuple[TeamAnswer, ...]


def load_questionnaire(raw: bytes | str) -> Questionnaire:
    """Check the answers.

    Args:
        raw: The JSON text.

    Returns:
        The answers.

    Raises:
        BadInputError: With every fault found and its path.
    """
    return check_json(Questionnaire, raw, code=ResultCode.BAD_CONFIG)


def generate_config(answers: Questionnaire) -> Configuration:
    """Generate the configuration that follows from the answers.

    Args:
        answers: The checked answers.

    Returns:
        A configuration that passes all checks.

    Raises:
        BadInputError: When the answers contradict each other.
    """
    cfg = Configuration(
        deployment=answers.deployment,
        zones=answers.zones,
        kinds=tuple(_kind(answer) for answer in answers.kinds),
        workspaces=tuple(_workspace(team, answers.zones) for team in answers.teams),
    )
    faults = config_faults(cfg)
    if faults:
        raise BadInputError(ResultCode.BAD_CONFIG, faults)
    return cfg


def _kind(answer: KindAnswer) -> Kind:
    """Translate the answers about a kind of work."""
    return Kind(
        name=answer.name,
        urgency=_URGENCY[answer.how_soon],
        deadline_s=answer.answer_within_s,
        idempotent=not answer.running_twice_does_harm,
        checkpointable=answer.can_continue_after_a_stop,
        durable=answer.must_never_be_lost or answer.running_twice_does_harm,
        max_accelerators=answer.most_accelerators,
        across_racks=answer.may_span_racks,
        expected_s=answer.usually_takes_s,
        floor_share=answer.keeps_share,
    )


def _workspace(team: TeamAnswer, zones: tuple[Zone, ...]) -> Workspace:
    """Translate the answers about a team."""
    guarantee = tuple(
        GuaranteedShape(accelerators=size, count=count, zone=zone.name)
        for zone in zones
        for count, size in team.always_needs
    )
    return Workspace(name=team.name, share=team.share, guarantee=guarantee)
