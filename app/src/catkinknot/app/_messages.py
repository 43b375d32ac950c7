"""Define what instances say to each other."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from catkinknot.journal import Event, EventFilter, LaneCounts
from catkinknot.membership import Heartbeat
from catkinknot.model import (
    Configuration,
    JobId,
    JobRequest,
    Outcome,
    ResultCode,
    check_json,
    to_json,
)

__all__ = [
    "AskEvents",
    "AskJob",
    "AskState",
    "AskStatus",
    "CancelJob",
    "ConfigOffer",
    "EventsAnswer",
    "InstanceStatus",
    "JobAnswer",
    "Message",
    "MessageCodec",
    "NotHolder",
    "QueueStatus",
    "ServerStatus",
    "StateAnswer",
    "SubmitJob",
]


@dataclass(frozen=True)
class SubmitJob:
    """Ask the holder of a zone to run a job.

    Attributes:
        request: The job.
        wait_s: Seconds to wait for its end before answering.
        again: Whether another scheduler may have got it before.
    """

    request: JobRequest
    wait_s: float
    again: bool = False
    type: Literal["submit_job"] = "submit_job"


@dataclass(frozen=True)
class AskJob:
    """Ask the holder of a zone how a job stands.

    Attributes:
        job: The job.
        wait_s: Seconds to wait for its end before answering.
    """

    job: JobId
    wait_s: float
    type: Literal["ask_job"] = "ask_job"


@dataclass(frozen=True)
class CancelJob:
    """Ask the holder of a zone to end a job.

    Attributes:
        job: The job.
    """

    job: JobId
    type: Literal["cancel_job"] = "cancel_job"


@dataclass(frozen=True)
class JobAnswer:
    """Say how a job stands.

    Attributes:
        outcome: How it stands.
    """

    outcome: Outcome
    type: Literal["job_answer"] = "job_answer"


@dataclass(frozen=True)
class NotHolder:
    """Say that this instance does not schedule the zone, or no longer does."""

    type: Literal["not_holder"] = "not_holder"


@dataclass(frozen=True)
class ConfigOffer:
    """Pass on the newest configuration.

    Attributes:
        version: Its version.
        config: The configuration.
    """

    version: int
    config: Configuration
    type: Literal["config_offer"] = "config_offer"


@dataclass(frozen=True)
class AskState:
    """Ask a peer for its state of the log, to start while the log is out."""

    type: Literal["ask_state"] = "ask_state"


@dataclass(frozen=True)
class StateAnswer:
    """Give the state of the log.

    Attributes:
        packed: The state as the log library packs it, empty for none.
    """

    packed: str
    type: Literal["state_answer"] = "state_answer"


@dataclass(frozen=True)
class AskEvents:
    """Ask for events.

    Attributes:
        wanted: Which ones.
    """

    wanted: EventFilter
    type: Literal["ask_events"] = "ask_events"


@dataclass(frozen=True)
class EventsAnswer:
    """Give events.

    Attributes:
        events: The events, oldest first.
    """

    events: tuple[Event, ...]
    type: Literal["events_answer"] = "events_answer"


@dataclass(frozen=True)
class AskStatus:
    """Ask an instance for what it knows of the service."""

    type: Literal["ask_status"] = "ask_status"


@dataclass(frozen=True)
class ServerStatus:
    """Tell about a backend server that is not in full use.

    Attributes:
        server: Its name.
        state: What is wrong.
        since_s: Seconds since 1970 from when on.
        why: One short sentence.
    """

    server: str
    state: Literal["lost", "set aside", "leaving"]
    since_s: float
    why: str


@dataclass(frozen=True)
class QueueStatus:
    """Tell about a queue.

    Attributes:
        workspace: The workspace.
        kind: The kind of work.
        jobs: How many wait.
        oldest_wait_s: How long the oldest has waited.
    """

    workspace: str
    kind: str
    jobs: int
    oldest_wait_s: float


@dataclass(frozen=True)
class InstanceStatus:
    """Tell what one instance knows of the service.

    Attributes:
        instance: Its name.
        zone: Its availability zone.
        state: Whether it takes new work.
        config_version: The configuration in force in it, 0 for none.
        holds: The epoch under which it schedules its zone, empty for none.
        holds_since_s: Seconds since 1970 from when on.
        servers: Servers of its zone that answer.
        accelerators: Accelerators of the zone that may be used.
        free_accelerators: Free ones among them.
        troubled: Servers of its zone that are not in full use.
        unhonoured: Sizes of guaranteed shapes that could not be given now.
        queues: Its zone's queues.
        doubtful: Jobs whose outcome is being resolved.
        lanes: What its callers got.
        log_silent_s: Seconds since the log last answered it, -1 for never.
        list_age_s: Seconds since it last read the instance list, -1 for never.
        unseen: Other instances that it does not hear.
        corrupt_records: Corrupt records that it passed over on the log.
    """

    instance: str
    zone: str
    state: Literal["live", "leaving"]
    config_version: int = 0
    holds: str = ""
    holds_since_s: float = 0.0
    servers: int = 0
    accelerators: int = 0
    free_accelerators: int = 0
    troubled: tuple[ServerStatus, ...] = ()
    unhonoured: tuple[int, ...] = ()
    queues: tuple[QueueStatus, ...] = ()
    doubtful: int = 0
    lanes: tuple[LaneCounts, ...] = ()
    log_silent_s: float = -1.0
    list_age_s: float = -1.0
    unseen: tuple[str, ...] = ()
    corrupt_records: int = 0
    type: Literal["instance_status"] = "instance_status"


Message = Annotated[
    Heartbeat
    | SubmitJob
    | AskJob
    | CancelJob
    | JobAnswer
    | NotHolder
    | ConfigOffer
    | AskState
    | StateAnswer
    | AskEvents
    | EventsAnswer
    | AskStatus
    | InstanceStatus,
    Field(discriminator="type"),
]
"""Any message between instances."""


class MessageCodec:
    """Turn messages into JSON and back."""

    def encode(self, message: Message) -> bytes:
        """Write a message."""
        return to_json(message)

    def decode(self, raw: bytes) -> Message:
        """Read a message.

        Args:
            raw: JSON in UTF-8.

        Returns:
            The message.

        Raises:
            BadInputError: When it is none of ours.
        """
        return check_json(Message, raw, code=ResultCode.BAD_PEER_MESSAGE)
