"""Applies the store's rows of evacuations to the state of an instance."""

import structlog

from cardamom_kernel import ids
from cardamom_kernel import tables

from cardamom_gateway import interfaces
from cardamom_gateway.locations import evacuations
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.evacuations")


class EvacuationRows:
    """Follows the rows of evacuations, whose keys begin with ``prefix``.

    ``last_change`` is the version of their latest change that was received,
    with number 0 before the first.
    """

    def __init__(self, state: state_module.GatewayState, prefix: str) -> None:
        self._state = state
        self._prefix = prefix
        self.last_change = tables.NO_VERSION

    def apply(
        self, changes: interfaces.Changes, is_full: bool, current_ms: int
    ) -> None:
        """Apply changes of the configuration's topic.

        ``current_ms`` is when the changes before them were the latest.
        """
        own_changes = [
            change
            for change in changes.changes
            if change.key.startswith(self._prefix)
            and change.key != self._prefix
        ]
        is_evacuated_by_data_centre = {
            ids.DataCentreId(change.key.removeprefix(self._prefix)): (
                change.value is not None
            )
            for change in own_changes
        }
        self.last_change = max(
            [self.last_change]
            + [
                tables.StoreVersion(changes.version.era, change.number)
                for change in own_changes
            ]
        )
        effects = self._state.evacuations.apply(
            evacuations.Rows(
                is_evacuated_by_data_centre,
                is_full,
                changes.version.era,
                current_ms,
            ),
            self._state.settings.evacuation_ms,
        )
        self._put_in_force(effects, "full read" if is_full else "change")

    async def check(self) -> None:
        """End evacuations that an older copy of the store didn't have."""
        self._put_in_force(
            self._state.evacuations.end_expired(), "not written again"
        )

    def _put_in_force(self, effects: evacuations.Effects, source: str) -> None:
        for data_centre in effects.begun:
            records = self._records(data_centre)
            LOG.warning(
                "evacuation: begun",
                data_centre=data_centre,
                source=source,
                targets=len(records),
                running=sum(record.load.running for record in records),
            )
            self._count(data_centre, "begun", 1)
        for data_centre in effects.ended:
            LOG.warning(
                "evacuation: ended",
                data_centre=data_centre,
                source=source,
                targets=len(self._records(data_centre)),
            )
            self._count(data_centre, "ended", 0)
        for data_centre in effects.kept:
            LOG.warning(
                "evacuation: kept, as the store came back from an older copy",
                data_centre=data_centre,
                kept_ms=evacuations.RESTORE_GRACE_MS,
            )
        self.note_cold()
        if effects.begun or effects.ended:
            self._state.targets.notify()

    def _count(
        self, data_centre: ids.DataCentreId, change: str, in_force: int
    ) -> None:
        metrics = self._state.metrics
        metrics.evacuations.labels(data_centre, change).inc()
        metrics.evacuations_in_force.labels(data_centre).set(in_force)

    def _records(
        self, data_centre: ids.DataCentreId
    ) -> list[target_records.TargetRecord]:
        return [
            record
            for record in self._state.targets.by_id.values()
            if record.target.data_centre == data_centre
        ]

    def note_cold(self) -> None:
        """Treat targets as cold for a while after an evacuation has ended.

        They may have turned cold without requests.
        """
        configuration = self._state.configuration
        ended_ms = self._state.evacuations.ended_ms_by_data_centre
        if configuration is None or not ended_ms:
            return
        services = configuration.service_by_id
        longest_ms = max(
            (service.cold_start_ms for service in services.values()), default=0
        )
        if self._state.clock.now_ms() - max(ended_ms.values()) > longest_ms:
            return
        for record in self._state.targets.by_id.values():
            target = record.target
            service = services.get(target.service)
            if (
                service is not None
                and service.cold_rate_per_s > 0
                and target.data_centre in ended_ms
            ):
                record.note_cold(
                    ended_ms[target.data_centre] + service.cold_start_ms
                )
