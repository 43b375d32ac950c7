"""Generation of a configuration from the answers to a questionnaire."""

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
    """Answers about one job kind.

    Attributes:
        name: Name of the kind.
        how_soon: When the result is needed.
        answer_within_s: Seconds after which the result is useless.
        usually_takes_s: Typical run time in seconds.
        running_twice_does_harm: Whether a second run of a job causes costs or confusion.
        can_continue_after_a_stop: Whether a stopped job can resume where it stopped.
        must_never_be_lost: Whether losing a job does harm.
        most_accelerators: Accelerators that the largest job needs.
        may_span_racks: Whether a job may span neighbouring racks.
        keeps_share: Share of a zone that is reserved for the kind when other kinds overload it.
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
    """Answers about one team.

    Attributes:
        name: Name of the team.
        always_needs: Pairs of a number of blocks and the accelerators in a block, for each zone.
        share: Weight of the team, relative to other teams, in sharing spare capacity.
    """

    name: Name
    always_needs: tuple[tuple[Annotated[int, Field(ge=1)], Annotated[int, Field(ge=1)]], ...] = ()
    share: Annotated[float, Field(gt=0)] = 1.0


@dataclass(frozen=True, config=STRICT)
class Questionnaire:
    """Answers about one deployment.

    Attributes:
        deployment: Name of the deployment.
        zones: Availability zones and their servers.
        kinds: Answers about each job kind.
        teams: Answers about each team.
    """

    deployment: Name
    zones: tuple[Zone, ...]
    kinds: tuple[KindAnswer, ...]
    teams: tuple[TeamAnswer, ...]


def load_questionnaire(raw: bytes | str) -> Questionnaire:
    """Parse and validate the answers to a questionnaire.

    Args:
        raw: The JSON text.

    Returns:
        The answers.

    Raises:
        BadInputError: With the path and reason of each fault.
    """
    return check_json(Questionnaire, raw, code=ResultCode.BAD_CONFIG)


def generate_config(answers: Questionnaire) -> Configuration:
    """Generate the configuration that follows from the answers.

    Args:
        answers: The validated answers.

    Returns:
        A valid configuration.

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
    """Translate the answers about a job kind."""
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
