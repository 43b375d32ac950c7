"""Handle messages from other instances."""

from catkinknot.membership import Heartbeat, MembershipView
from catkinknot.peers import Reply

from ._context import InstanceContext
from ._messages import (
    AskEvents,
    AskJob,
    AskState,
    AskStatus,
    CancelJob,
    ConfigOffer,
    EventsAnswer,
    Message,
    StateAnswer,
    SubmitJob,
)
from ._status import StatusService
from ._zone_manager import ZoneManager

__all__ = ["PeerHandler"]


class PeerHandler:
    """Handler that dispatches each peer message to the part that answers it."""

    def __init__(
        self, context: InstanceContext, view: MembershipView, zone_manager: ZoneManager
    ) -> None:
        """Create the handler.

        Args:
            context: The context of this instance.
            view: The other instances.
            zone_manager: The manager of this instance's zone.
        """
        self._context = context
        self._view = view
        self._zone_manager = zone_manager
        self.status: StatusService | None = None

    def handle(self, sender: str, message: Message, reply: Reply) -> None:
        """Handle one message.

        Args:
            sender: The instance that sent the message.
            message: The message.
            reply: Sends the answer; may be called after this method returns.
        """
        match message:
            case Heartbeat():
                self._view.apply_heartbeat(message)
            case SubmitJob() | AskJob() | CancelJob():
                self._zone_manager.handle(message, reply)
            case ConfigOffer(version=version, config=config):
                if self._context.book.offer(version, config):
                    self._context.ring.add("config", "config.from_peer", sender)
            case AskState():
                reply(StateAnswer(self._packed()))
            case AskEvents(wanted=wanted):
                reply(EventsAnswer(tuple(self._context.ring.find(wanted))))
            case AskStatus():
                if self.status is not None:
                    reply(self.status.own_status())

    def _packed(self) -> str:
        """Return the packed state of the log, empty while this instance has none."""
        if not self._context.reader.caught_up:
            return ""
        return self._context.reader.packed()[1]
