"""Rows that the lease holder stores for instances that start later.

They hold the usage of teams near their limits, the software versions of
targets, and the requests and prompt parts that are refused.
"""

import asyncio
import dataclasses
import typing

import structlog

from cardamom_kernel import tables
from cardamom_policy import fleet_windows

from cardamom_gateway.fleet import stored_suspects
from cardamom_gateway.fleet import usage
from cardamom_gateway.requests import stream_origins
from cardamom_gateway import state as state_module

LOG = structlog.get_logger("cardamom.gateway")

USAGE_KEY = "usage"
SOFTWARE_KEY = "software"
SUSPECTS_KEY = "suspects"
SOFTWARE_READ_TIMEOUT_S = 0.5  # a caller waits for the rest of its stream


@dataclasses.dataclass(frozen=True)
class StoreAccess:
    """What an instance knows of the store, and whether it may write rows.

    ``store_clock_ms`` returns the store's clock, None before any answer.
    """

    is_holder: typing.Callable[[], bool]
    is_reached: typing.Callable[[], bool]
    store_clock_ms: typing.Callable[[], int | None]


class StoredRows:
    """Applies the stored rows, and writes them while holding the lease."""

    def __init__(
        self,
        state: state_module.GatewayState,
        table: tables.Table,
        access: StoreAccess,
        origins: typing.Callable[[], stream_origins.StreamOrigins],
    ) -> None:
        self._state = state
        self._table = table
        self._access = access
        self._find_origins = origins
        self._has_stored_usage = True  # a previous holder may have stored some
        self._stored_suspects = stored_suspects.NONE

    @property
    def _origins(self) -> stream_origins.StreamOrigins:
        return self._find_origins()

    def apply(self, key: str, value: bytes | None) -> bool:
        """Apply a row, None for its removal; return whether it is one."""
        apply_by_key = {
            USAGE_KEY: self._apply_usage,
            SOFTWARE_KEY: self._apply_software,
            SUSPECTS_KEY: self._apply_suspects,
        }
        if key not in apply_by_key:
            return False
        apply_by_key[key](value)
        return True

    def forget_suspects(self) -> None:
        """Record that a full read of the store may lack the suspects."""
        self._stored_suspects = stored_suspects.NONE

    def _apply_usage(self, value: bytes | None) -> None:
        """Apply the usage of teams that a holder of the lease stored."""
        try:
            profiles = usage.decode(value, self._access.store_clock_ms())
        except usage.MalformedUsage as error:
            LOG.warning("gateway: stored usage not usable", error=str(error))
            profiles = {}
        now_ms = self._state.clock.now_ms()
        self._state.rates.set_earlier_use(
            {
                team: fleet_windows.Profile(now_ms - age_ms, amounts)
                for team, (age_ms, amounts) in profiles.items()
            }
        )

    def _apply_software(self, value: bytes | None) -> None:
        """Apply the software versions that a holder of the lease stored."""
        if value is None:
            return
        try:
            versions = stream_origins.decode_versions(value)
        except (ValueError, TypeError) as error:
            LOG.warning(
                "gateway: stored versions not usable", error=str(error)
            )
            return
        self._origins.stored_versions_by_service = versions
        self._origins.is_stored = True

    def _apply_suspects(self, value: bytes | None) -> None:
        """Apply what is refused, as a holder of the lease stored it."""
        if value is None:
            self._stored_suspects = stored_suspects.NONE
            return
        try:
            requests, parts = stored_suspects.decode(
                value, self._access.store_clock_ms()
            )
        except stored_suspects.MalformedSuspects as error:
            LOG.warning(
                "gateway: stored suspects not usable", error=str(error)
            )
            return
        self._stored_suspects = stored_suspects.select(requests, parts)
        self._state.suspicions.merge(requests)
        self._state.part_suspicions.merge(parts)

    async def store_suspects(self) -> None:
        """Store the refused requests and parts when they have changed."""
        store_clock_ms = self._access.store_clock_ms()
        if not self._access.is_holder() or store_clock_ms is None:
            return
        suspects = stored_suspects.select(
            self._state.suspicions.refused(),
            self._state.part_suspicions.refused(),
        )
        if suspects != self._stored_suspects:
            row = stored_suspects.encode(suspects, store_clock_ms)
            await self._table.commit({}, {SUSPECTS_KEY: row})

    async def read_software(
        self,
    ) -> stream_origins.VersionsByService | None:
        """Read the stored software versions, None if that fails."""
        try:
            async with asyncio.timeout(SOFTWARE_READ_TIMEOUT_S):
                rows = await self._table.read_latest([SOFTWARE_KEY])
            row = rows.get(SOFTWARE_KEY)
            return (
                {} if row is None else stream_origins.versions_of_row(row.body)
            )
        except (
            tables.TableUnavailable,
            TimeoutError,
            ValueError,
            TypeError,
        ) as error:
            LOG.warning("gateway: stored versions not read", error=repr(error))
            return None

    async def store_software(self) -> None:
        """Store the targets' software versions when they have changed."""
        if not self._access.is_holder() or not self._access.is_reached():
            return
        versions = self._origins.versions_to_store()
        if versions is not None:
            row = stream_origins.encode_versions(versions)
            await self._table.commit({}, {SOFTWARE_KEY: row})

    async def store_usage(self) -> None:
        """Store the usage of teams near their limits, for later starts."""
        configuration, now_ms = (
            self._state.configuration,
            self._state.clock.now_ms(),
        )
        store_clock_ms = self._access.store_clock_ms()
        if not self._access.is_holder() or configuration is None:
            return
        if store_clock_ms is None:
            return  # nothing has been read from the store yet
        rates = self._state.rates
        amounts_by_team = {
            team.id: rates.profile(team.id, now_ms).amounts
            for team in configuration.team_by_id.values()
            if team.rate_per_s > 0
            and rates.is_near_limit(
                team.id, self._state.rate_limit(team), now_ms
            )
        }
        if amounts_by_team or self._has_stored_usage:
            row = usage.encode(amounts_by_team, store_clock_ms)
            await self._table.commit({}, {USAGE_KEY: row})
        self._has_stored_usage = bool(amounts_by_team)
