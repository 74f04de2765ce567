"""The targets known to this instance, and the load on them."""

import asyncio
import dataclasses
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_policy import dispatching

from cardamom_gateway.engines import holdings as holdings_module
from cardamom_gateway.locations import evacuations as evacuations_module
from cardamom_gateway import model
from cardamom_gateway.targets import brittle_services
from cardamom_gateway.targets import cold_targets
from cardamom_gateway.targets import removed_targets
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.targets")

RETURN_GRACE_MS = 1_900  # entries that expired in an outage return in it
# An entry that calls a target ready counts again so long after an answer in
# which the target said that it leaves; most have ended by then.
STATED_LEAVING_MS = 30_000
# Streams that a former software version began may still be resumed.
SOFTWARE_RETENTION_MS = 60_000


TargetFilter = typing.Callable[[model.Target], bool]


def allow_any(target: model.Target) -> bool:
    """Serve as default filter of targets."""
    return True


def _do_nothing(target: model.Target) -> None:
    """Serve as default for ``on_leaving``."""


def _ignore_service(service: model.ServiceId) -> None:
    """Serve as default for ``on_software``."""


class TargetRegistry:
    """All targets by id.

    ``on_leaving`` is called with a target that begins to leave, is removed, or
    has a late entry after that, and ``on_software`` with a service whose
    targets have got another software version.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        data_centre: ids.DataCentreId,
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self._clock = clock
        self._evacuations = evacuations or evacuations_module.Evacuations(
            clock
        )
        self._data_centre = data_centre
        self.by_id: dict[ids.TargetId, target_records.TargetRecord] = {}
        self.cache_tokens_by_service: dict[model.ServiceId, int] = {}
        self.cold_rules = cold_targets.ColdRules()
        self.brittle_services = brittle_services.BrittleServices()
        self._changed = asyncio.Event()
        self.on_leaving: typing.Callable[[model.Target], None] = _do_nothing
        self.on_software: typing.Callable[[model.ServiceId], None] = (
            _ignore_service
        )
        self._software_seen_ms: dict[tuple[model.ServiceId, str], int] = {}
        self._software_since_ms: dict[tuple[model.ServiceId, str], int] = {}
        self.removed = removed_targets.RemovedTargets(clock)
        self._loaded_by_peer: dict[str, list[ids.TargetId]] = {}

    def put(self, target: model.Target, is_after_outage: bool = False) -> None:
        """Add or update a target; a restart begins a new record.

        An entry that the store has written late is ignored.
        ``is_after_outage`` is whether the entry was read just after an outage
        of the store.
        """
        record = self.by_id.get(target.id)
        if record is not None and self._is_outdated(record, target):
            return
        if record is None and self.removed.is_late(target):
            self._report_late(target)
            return
        if record is not None:
            self._note_software(record.target)  # a restart may change it
        is_new_software = self._is_new_software(target)
        if (
            record is None
            or record.target.incarnation != target.incarnation
            or record.target.address != target.address
        ):
            cache_tokens = self.cache_tokens_by_service.get(target.service, 0)
            cold = cold_targets.of_entry(
                self.cold_rules,
                target,
                record.cold
                if record and record.target.incarnation == target.incarnation
                else None,
                self._clock.now_ms(),
                is_after_outage,
            )
            record = target_records.TargetRecord(
                target, cache_tokens, cold, self.brittle_services
            )
            record.found_ms = self._clock.now_ms()
            self.by_id[target.id] = record
            LOG.info(
                "targets: found",
                target=target.id,
                service=target.service,
                address=target.address,
                software=target.software_version,
                state=target.state.value,
            )
        elif (
            target.state is model.TargetState.READY
            and record.leaving_at_write is not None
            and target.entry_sequence > record.leaving_at_write
        ):
            record.leaving_at_write = None
        if target.entry_sequence > record.target.entry_sequence:
            record.cold.note_stated(self._clock.now_ms(), target.warmup_ms)
        if self._serves_again(record, target):
            record.stated_leaving_ms = None
        if target.state is not record.target.state:
            LOG.info(
                "targets: state",
                target=target.id,
                was=record.target.state.value,
                state=target.state.value,
            )
        if target.state is model.TargetState.LEAVING:
            self._report_leaving(record)
        record.target = target
        record.expired_ms = None
        self._note_software(target)
        if is_new_software:
            self.on_software(target.service)
        self.notify()

    def _is_outdated(
        self, record: target_records.TargetRecord, target: model.Target
    ) -> bool:
        """Return whether an entry is older than that of a known target.

        One of an earlier start counts as older only for a while, as the clock
        that starts are ordered by may have been corrected.
        """
        known = record.target
        if known.started_ms != target.started_ms:
            return (
                known.started_ms > target.started_ms
                and self._clock.now_ms() - record.found_ms
                <= removed_targets.LATE_WRITE_MS
            )
        return known.entry_sequence > target.entry_sequence

    def _report_late(self, target: model.Target) -> None:
        """Tell peers of a removed target whose entry is back.

        Those that have just started don't know of the removal.
        """
        last = self.removed.position_by_id()[target.id]
        LOG.info(
            "targets: late entry ignored",
            target=target.id,
            sequence=target.entry_sequence,
            known=last.entry_sequence,
        )
        self.on_leaving(
            dataclasses.replace(
                target,
                started_ms=last.started_ms,
                entry_sequence=last.entry_sequence,
            )
        )

    def _serves_again(
        self, record: target_records.TargetRecord, target: model.Target
    ) -> bool:
        """Return whether an entry overrides that a target said it leaves."""
        return (
            record.stated_leaving_ms is not None
            and target.state is model.TargetState.READY
            and target.entry_sequence > record.target.entry_sequence
            and self._clock.now_ms() - record.stated_leaving_ms
            >= STATED_LEAVING_MS
        )

    def note_stated_leaving(self, record: target_records.TargetRecord) -> None:
        """Record that a target has said in an answer that it leaves.

        It gets no new requests then until it starts again, whatever its entry
        says, and peers are told.
        """
        was_in_use = self.is_in_use(record)
        record.stated_leaving_ms = self._clock.now_ms()
        if not was_in_use:
            return
        LOG.info("targets: leaving, by its answer", target=record.target.id)
        self.on_leaving(record.target)
        self.notify()

    def remove(self, target_id: ids.TargetId, reachable_since_ms: int) -> None:
        """Remove a target, or mark it as expired.

        Soon after an outage of the store the entry may only have expired, so
        the target is kept for RETURN_GRACE_MS.
        """
        record = self.by_id.get(target_id)
        if record is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms - reachable_since_ms < RETURN_GRACE_MS:
            record.expired_ms = reachable_since_ms
            LOG.info("targets: lapsed", target=target_id)
            return
        self._report_leaving(record)
        self._delete(record)
        LOG.info("targets: gone", target=target_id)

    def has_ended_unplanned(self, record: target_records.TargetRecord) -> bool:
        """Return whether a target is gone without having said it would be.

        Another start of it may have taken its place.
        """
        return (
            self.by_id.get(record.target.id) is not record
            and record.target.state is model.TargetState.READY
            and record.stated_leaving_ms is None
        )

    def remove_absent(
        self,
        present: typing.Collection[ids.TargetId],
        reachable_since_ms: int,
    ) -> None:
        """Remove every target that a full read of the store lacks."""
        for target_id in list(self.by_id):
            if target_id not in present:
                self.remove(target_id, reachable_since_ms)

    def drop_expired(self) -> None:
        """Remove expired targets that did not return after an outage."""
        now_ms = self._clock.now_ms()
        for target_id, record in list(self.by_id.items()):
            if (
                record.expired_ms is not None
                and now_ms - record.expired_ms >= RETURN_GRACE_MS
            ):
                self._delete(record)
                LOG.info("targets: gone after an outage", target=target_id)

    def _delete(self, record: target_records.TargetRecord) -> None:
        target = record.target
        self._note_software(target)
        del self.by_id[target.id]
        self.removed.note(target.id, removed_targets.position_of(target))

    def _note_software(self, target: model.Target) -> None:
        """Record when a software version of a service was last seen."""
        key = (target.service, target.software_version)
        now_ms = self._clock.now_ms()
        seen_ms = self._software_seen_ms.get(key, clocks.NEVER_MS)
        if now_ms - seen_ms > SOFTWARE_RETENTION_MS:
            self._software_since_ms[key] = now_ms
        self._software_seen_ms[key] = now_ms

    def software_age_ms(self, target: model.Target) -> int:
        """Return for how long a target's software version has been known."""
        key = (target.service, target.software_version)
        now_ms = self._clock.now_ms()
        return now_ms - self._software_since_ms.get(key, now_ms)

    def _is_new_software(self, target: model.Target) -> bool:
        """Return whether a target adds a software version to others."""
        key = (target.service, target.software_version)
        seen_ms = self._software_seen_ms.get(key, clocks.NEVER_MS)
        if self._clock.now_ms() - seen_ms <= SOFTWARE_RETENTION_MS:
            return False
        others = self.recent_software(target.service)
        return bool(others - {target.software_version})

    def services(self) -> set[model.ServiceId]:
        """Return the services that have, or have had, targets."""
        return {service for service, _ in self._software_seen_ms}

    def recent_software(self, service: model.ServiceId) -> frozenset[str]:
        """Return the software versions of a service's targets.

        Versions whose last target has been gone for SOFTWARE_RETENTION_MS
        are left out.
        """
        now_ms = self._clock.now_ms()
        present = {
            record.target.software_version
            for record in self.by_id.values()
            if record.target.service == service
        }
        return frozenset(present) | {
            version
            for (other, version), at_ms in self._software_seen_ms.items()
            if other == service and now_ms - at_ms <= SOFTWARE_RETENTION_MS
        }

    def note_holdings(
        self, target_id: ids.TargetId, holdings: holdings_module.Holdings
    ) -> None:
        """Record an engine's holdings as the lease holder knows them."""
        record = self.by_id.get(target_id)
        if record is None:
            return
        is_new = record.holdings != holdings
        if is_new:
            record.load_end_ms = self._clock.now_ms() + holdings.load_ms
        record.holdings = holdings
        record.holdings_ms = self._clock.now_ms()
        if is_new:
            self.notify()

    def note_peer_load(
        self,
        peer: str,
        load_by_target: typing.Mapping[str, target_records.PeerLoad],
    ) -> None:
        """Record a peer's load on all targets, replacing the earlier one."""
        for target_id in self._loaded_by_peer.pop(peer, ()):
            record = self.by_id.get(target_id)
            if record is not None:
                record.load_by_peer.pop(peer, None)
        loaded = [
            ids.TargetId(target_id)
            for target_id in load_by_target
            if target_id in self.by_id
        ]
        for target_id in loaded:
            self.by_id[target_id].load_by_peer[peer] = load_by_target[
                target_id
            ]
        if loaded:
            self._loaded_by_peer[peer] = loaded

    def of_service(
        self,
        service: model.ServiceId,
        is_allowed: TargetFilter = allow_any,
    ) -> list[target_records.TargetRecord]:
        """Return the targets of a service that may get new requests.

        Targets whose entry expired in an outage are returned only if there is
        no other.
        """
        ready = [
            record
            for record in self.by_id.values()
            if record.target.service == service
            and record.is_usable
            and not self.is_evacuated(record.target)
            and is_allowed(record.target)
        ]
        return [r for r in ready if r.expired_ms is None] or ready

    def evacuated_of_service(
        self,
        service: model.ServiceId,
        is_allowed: TargetFilter = allow_any,
    ) -> list[target_records.TargetRecord]:
        """Return a service's targets that only an evacuation excludes."""
        return [
            record
            for record in self.by_id.values()
            if record.target.service == service
            and record.is_usable
            and self.is_evacuated(record.target)
            and is_allowed(record.target)
        ]

    def is_evacuated(self, target: model.Target) -> bool:
        """Return whether a target's data centre is evacuated."""
        return self._evacuations.is_evacuated(target.data_centre)

    def is_closed(self, target: model.Target) -> bool:
        """Return whether a target may not even get requests as last holder."""
        return self._evacuations.is_closed(target.data_centre)

    def is_in_use(self, record: target_records.TargetRecord) -> bool:
        """Return whether a record is current and may get new requests."""
        return self.by_id.get(record.target.id) is record and record.is_usable

    def accepts(self, record: target_records.TargetRecord) -> bool:
        """Return whether a record is in use, and may get requests now.

        It has stated no pause, and its data centre isn't evacuated, or it may
        still be the last holder of a model.
        """
        return (
            self.is_in_use(record)
            and not record.pause_wait_ms(self._clock.now_ms())
            and not self.is_closed(record.target)
        )

    def pause(
        self, record: target_records.TargetRecord, stated_ms: int
    ) -> None:
        """Record for how long a target wants no requests from here."""
        if record.pause.begin(self._clock.now_ms(), stated_ms):
            LOG.info(
                "targets: pause stated",
                target=record.target.id,
                stated_ms=stated_ms,
            )

    def mark_leaving(
        self, target_id: ids.TargetId, started_ms: int, entry_sequence: int
    ) -> None:
        """Record a peer's report that a target is leaving or removed.

        A later entry of the target overrides the report, also if the target
        isn't known here yet.
        """
        record = self.by_id.get(target_id)
        if record is None or record.target.started_ms < started_ms:
            self.removed.note(
                target_id,
                removed_targets.EntryPosition(started_ms, entry_sequence),
            )
            return
        if (
            record.target.started_ms != started_ms
            or record.target.entry_sequence > entry_sequence
            or not record.is_usable
        ):
            return
        record.leaving_at_write = entry_sequence
        LOG.info("targets: leaving, by a peer", target=target_id)

    def _report_leaving(self, record: target_records.TargetRecord) -> None:
        if record.target.state is model.TargetState.READY:
            self.on_leaving(record.target)

    def targets_with_model(
        self,
        service: model.ServiceId,
        resident: str,
        is_allowed: TargetFilter = allow_any,
    ) -> list[target_records.TargetRecord]:
        """Return the usable targets of a service that hold a model.

        Those in an evacuated data centre are returned only if there is no
        other, and only shortly after the evacuation began.
        """
        now_ms = self._clock.now_ms()
        last_holders = (
            record
            for record in self.evacuated_of_service(service, is_allowed)
            if not self.is_closed(record.target)
        )
        return [
            record
            for record in self.of_service(service, is_allowed)
            if (resident, "") in record.residents(now_ms)
        ] or [
            record
            for record in last_holders
            if (resident, "") in record.residents(now_ms)
        ]

    def load_end_times_ms(
        self,
        service: model.ServiceId,
        name: str,
        is_allowed: TargetFilter = allow_any,
    ) -> list[int]:
        """Return the expected end times in ms of a model's current loads."""
        return [
            record.load_end_ms
            for record in self.of_service(service, is_allowed)
            if record.holdings is not None and record.holdings.loading == name
        ]

    def is_on_disk(
        self,
        service: model.ServiceId,
        name: str,
        is_allowed: TargetFilter = allow_any,
    ) -> bool:
        """Return whether a target has a model on disk or in host memory."""
        return any(
            name in record.target.on_disk | record.target.in_host_memory
            for record in self.of_service(service, is_allowed)
        )

    def candidates(
        self,
        records: typing.Iterable[target_records.TargetRecord],
        head: model.RequestHead,
        exclude: typing.Container[ids.TargetId],
        is_urgent: bool,
    ) -> list[dispatching.Candidate]:
        """Return the candidates for a request.

        Suspect targets are returned only if there is no other, and targets
        without a permit, or that have stated a pause, not at all.
        """
        now_ms = self._clock.now_ms()
        usable = [
            r
            for r in records
            if r.target.id not in exclude and not r.wait_ms(is_urgent, now_ms)
        ]
        trusted = [
            r for r in usable if r.is_relayed or r.suspect_until_ms <= now_ms
        ]
        return [
            dispatching.Candidate(
                id=record.target.id,
                slots=record.target.slots,
                running=record.running(now_ms),
                prefill_tokens=record.prefill_tokens(now_ms),
                is_local=record.target.data_centre == self._data_centre,
                cached_tokens=record.prefix_cache.cached_tokens(
                    head.model_and_adapter, head.prompt_parts
                ),
                adapter_ms=record.adapter_ms(head, now_ms),
                failure_ratio=record.failure_ratio,
                is_relayed=record.is_relayed,
                sent_rate=record.sends.rate(now_ms),
                pace=record.pace(head.model, now_ms),
            )
            for record in trusted or usable
        ]

    def relayed(self) -> list[target_records.TargetRecord]:
        """Return the targets that only peers reach."""
        return [r for r in self.by_id.values() if r.is_relayed]

    @property
    def is_cut_off(self) -> bool:
        """Return whether only peers reach at least half of all targets.

        Evacuated ones aren't tried, so nothing new is known of them.
        """
        relayed = [
            r for r in self.relayed() if not self.is_evacuated(r.target)
        ]
        return bool(relayed) and 2 * len(relayed) >= sum(
            not self.is_evacuated(r.target) for r in self.by_id.values()
        )

    def notify(self) -> None:
        """Wake all callers of ``wait_for_change``."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_ms: float) -> None:
        """Wait for a change of any target, at most for the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._changed.wait()
        except TimeoutError:
            return
