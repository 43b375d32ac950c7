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
    """Check and publish configurations with compare-and-set."""

    def __init__(self, context: InstanceContext, view: MembershipView) -> None:
        """Prepare.

        Args:
            context: The shared parts.
            view: The servers that the platform lists.
        """
        self._context = context
        self._view = view

    def current(self) -> ConfigInForce | None:
        """Return the configuration in force, or None."""
        return self._context.book.current()

    def publish(self, config: Configuration, base_version: int, operator: str) -> int:
        """Publish a configuration in place of a known version.

        Args:
            config: The checked configuration.
            base_version: The version that the operator saw, 0 for none.
            operator: Who publishes.

        Returns:
            The new version.

        Raises:
            BadInputError: When guarantees do not fit the servers.
            ConfigConflictError: When another version is in force.
            CatkinknotError: When the log is out, or its answer not known.
        """
        faults = guarantee_faults(config)
        if faults:
            raise BadInputError(ResultCode.GUARANTEE_EXCEEDS_FLEET, faults)
        record = ConfigPublished(base_version, config, operator)
        try:
            verdict = self._context.appender.append_and_wait(record, _PUBLISH_WAIT_S)
        except NotAppendedError:
            raise CatkinknotError(
                "the platform's log is out; nothing was published",
                code=ResultCode.LOG_UNAVAILABLE,
            ) from None
        except AppendUnknownError:
            raise CatkinknotError(
                "the log has not confirmed it; run config show before trying again",
                code=ResultCode.OUTCOME_UNKNOWN,
            ) from None
        if not verdict.ok:
            raise ConfigConflictError(verdict.message)
        return verdict.offset + 1


def guarantee_faults(config: Configuration) -> list[str]:
    """List the zones whose servers could not give all guarantees at once.

    Args:
        config: A configuration whose fields are right.

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
