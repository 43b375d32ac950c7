"""Define the messages between instances."""

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
    """Request to the holder of a zone to run a job.

    Attributes:
        request: The job.
        wait_s: Seconds to wait for its end before answering.
        again: Whether another scheduler may have received it before.
    """

    request: JobRequest
    wait_s: float
    again: bool = False
    type: Literal["submit_job"] = "submit_job"


@dataclass(frozen=True)
class AskJob:
    """Request to the holder of a zone for the outcome of a job.

    Attributes:
        job: The job.
        wait_s: Seconds to wait for its end before answering.
    """

    job: JobId
    wait_s: float
    type: Literal["ask_job"] = "ask_job"


@dataclass(frozen=True)
class CancelJob:
    """Request to the holder of a zone to cancel a job.

    Attributes:
        job: The job.
    """

    job: JobId
    type: Literal["cancel_job"] = "cancel_job"


@dataclass(frozen=True)
class JobAnswer:
    """Answer with the outcome of a job.

    Attributes:
        outcome: The outcome, which may be that the job is still running.
    """

    outcome: Outcome
    type: Literal["job_answer"] = "job_answer"


@dataclass(frozen=True)
class NotHolder:
    """Answer of an instance that does not hold the zone, or no longer does."""

    type: Literal["not_holder"] = "not_holder"


@dataclass(frozen=True)
class ConfigOffer:
    """Configuration sent to a peer that has an older one.

    Attributes:
        version: The version of the configuration.
        config: The configuration.
    """

    version: int
    config: Configuration
    type: Literal["config_offer"] = "config_offer"


@dataclass(frozen=True)
class AskState:
    """Request for a peer's state of the log, to start while the log is unavailable."""

    type: Literal["ask_state"] = "ask_state"


@dataclass(frozen=True)
class StateAnswer:
    """Answer with the state of the log.

    Attributes:
        packed: The state as packed by the log library, empty for none.
    """

    packed: str
    type: Literal["state_answer"] = "state_answer"


@dataclass(frozen=True)
class AskEvents:
    """Request for events of an instance.

    Attributes:
        wanted: The filter that the events must match.
    """

    wanted: EventFilter
    type: Literal["ask_events"] = "ask_events"


@dataclass(frozen=True)
class EventsAnswer:
    """Answer with events.

    Attributes:
        events: The events, oldest first.
    """

    events: tuple[Event, ...]
    type: Literal["events_answer"] = "events_answer"


@dataclass(frozen=True)
class AskStatus:
    """Request for the status of an instance."""

    type: Literal["ask_status"] = "ask_status"


@dataclass(frozen=True)
class ServerStatus:
    """Reason not to start new work on a backend server.

    Attributes:
        server: The name of the server.
        state: The kind of the reason.
        since_s: When the state began, in seconds since 1970.
        why: The reason in one short sentence.
    """

    server: str
    state: Literal["lost", "set aside", "leaving"]
    since_s: float
    why: str


@dataclass(frozen=True)
class QueueStatus:
    """Length and age of a queue.

    Attributes:
        workspace: The workspace.
        kind: The kind of job.
        jobs: The number of jobs in the queue.
        oldest_wait_s: Seconds that the oldest job has waited.
    """

    workspace: str
    kind: str
    jobs: int
    oldest_wait_s: float


@dataclass(frozen=True)
class InstanceStatus:
    """Status of one instance and of the zone that it holds.

    Attributes:
        instance: The name of the instance.
        zone: The availability zone of the instance.
        state: Whether the instance accepts new work.
        config_version: The version of its current configuration, 0 for none.
        holds: The epoch under which it holds its zone, empty if it does not.
        holds_since_s: When it began to hold the zone, in seconds since 1970.
        servers: The number of servers of the zone whose lease it holds.
        accelerators: The number of usable accelerators of the zone.
        free_accelerators: The number of free accelerators among them.
        troubled: Reasons not to start new work on servers of the zone.
        unhonoured: Sizes of guaranteed shapes that cannot be honoured now.
        queues: The queues of the zone.
        doubtful: The number of starts whose outcome is unknown.
        lanes: The counts of recent outcomes by workspace and kind.
        log_silent_s: Seconds since the log last answered, -1 for never.
        list_age_s: Seconds since the instance list was last read, -1 for never.
        unseen: Other instances that it cannot reach.
        corrupt_records: The number of corrupt records that it skipped on the log.
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
"""Any message between instances, told apart by its ``type``."""


class MessageCodec:
    """Codec between messages and JSON."""

    def encode(self, message: Message) -> bytes:
        """Return a message as JSON in UTF-8."""
        return to_json(message)

    def decode(self, raw: bytes) -> Message:
        """Parse a message.

        Args:
            raw: JSON in UTF-8.

        Returns:
            The message.

        Raises:
            BadInputError: If the input is not a valid message.
        """
        return check_json(Message, raw, code=ResultCode.BAD_PEER_MESSAGE)
