"""Publish configurations for operators."""

from catkinknot.membership import MembershipView
from catkinknot.model import Configuration, ResultCode
from catkinknot.model.exceptions import BadInputError, CatkinknotError, ConfigConflictError
from catkinknot.placement import Fleet
from catkinknot.platformlog import ConfigInForce, ConfigPublished
from catkinknot.platformlog.exceptions import AppendUnknownError, NotAppendedError
from catkinknot.scheduler import guaranteed_shapes, zone_servers

from ._context import InstanceContext

__all__ = ["ConfigService", "guarantee_faults"]

_PUBLISH_WAIT_S = 5.0


class ConfigService:
    """Service that validates and publishes configurations by compare-and-set."""

    def __init__(self, context: InstanceContext, view: MembershipView) -> None:
        """Create the service.

        Args:
            context: The context of this instance.
            view: The servers listed by the platform.
        """
        self._context = context
        self._view = view

    def current(self) -> ConfigInForce | None:
        """Return the configuration in force, or None."""
        return self._context.book.current()

    def publish(self, config: Configuration, base_version: int, operator: str) -> int:
        """Publish a configuration that replaces a given version.

        Args:
            config: The validated configuration.
            base_version: The version that the operator edited, 0 for none.
            operator: The name of the operator.

        Returns:
            The new version.

        Raises:
            BadInputError: If the guarantees do not fit the servers.
            ConfigConflictError: If another version is in force.
            CatkinknotError: If the log is unavailable, or its answer is unknown.
        """
        faults = guarantee_faults(config)
        if faults:
            raise BadInputError(ResultCode.GUARANTEE_EXCEEDS_FLEET, faults)
        record = ConfigPublished(base_version, config, operator)
        try:
            verdict = self._context.appender.append_and_wait(record, _PUBLISH_WAIT_S)
        except NotAppendedError:
            raise CatkinknotError(
                "the platform's log is unavailable; nothing was published",
                code=ResultCode.LOG_UNAVAILABLE,
            ) from None
        except AppendUnknownError:
            raise CatkinknotError(
                "the platform's log has not confirmed the configuration; "
                "run config show before trying again",
                code=ResultCode.OUTCOME_UNKNOWN,
            ) from None
        if not verdict.ok:
            raise ConfigConflictError(verdict.message)
        return verdict.offset + 1


def guarantee_faults(config: Configuration) -> list[str]:
    """List the zones whose servers cannot hold all guaranteed shapes at once.

    Args:
        config: A configuration whose fields are valid.

    Returns:
        One "path: reason" line for each zone that is too small.
    """
    faults = []
    for index, zone in enumerate(config.zones):
        fleet = Fleet(zone_servers(config, zone.name))
        fleet.set_shapes(guaranteed_shapes(config, zone.name))
        missing = fleet.unhonoured()
        if missing:
            total = zone.servers * zone.accelerators_per_server
            faults.append(
                f"zones[{index}]: {len(missing)} guaranteed shapes "
                f"({sum(missing)} accelerators) do not fit its {total} accelerators"
            )
    return faults
