"""The wait of plain calls for room at targets that reject calls."""

import collections

import structlog

from cardamom_policy import dispatching
from cardamom_policy import full_targets

from cardamom_gateway import model
from cardamom_gateway.requests import admission
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.rooms")

CHECK_MS = 15  # between two looks for room; a plain call takes some 90 ms
# Longest wait, as a fraction of the time to the deadline.
MAX_WAIT_FRACTION = 0.5

Records = list[target_records.TargetRecord]


class PlainRooms:
    """Finds targets with a free slot for calls of services without engines."""

    def __init__(self, state: state_module.GatewayState) -> None:
        self._state = state
        self._full: collections.defaultdict[
            model.ServiceId, full_targets.FullTargets
        ] = collections.defaultdict(full_targets.FullTargets)
        self._queue: collections.defaultdict[
            model.ServiceId, full_targets.RoomQueue
        ] = collections.defaultdict(full_targets.RoomQueue)

    def note_rejected(
        self, call: admission.Call, record: target_records.TargetRecord
    ) -> None:
        """Record that a target had no room for a plain call.

        The call may be sent there again once it has room.
        """
        now_ms = self._state.clock.now_ms()
        if (
            call.service.engine is not None
            or record.permit_need(now_ms) is not None
            or record.target.slots <= 0  # it states no bound
        ):
            return
        self._full[call.service.id].note_rejected(record.target.id, now_ms)
        call.full_targets.add(record.target.id)
        LOG.info(
            "rooms: target full",
            id=call.head.attempt,
            target=record.target.id,
            slots=record.target.slots,
            running=record.running(now_ms),
            waiting=len(self._queue[call.service.id]),
        )

    async def with_room(
        self, call: admission.Call, records: Records
    ) -> Records:
        """Return the targets with room for a call, waiting for one of them.

        All of them are returned if none has got room in time, or if they
        don't reject calls; some may have left meanwhile.
        """
        service = call.service.id
        if not self._full[service].is_active(self._state.clock.now_ms()):
            return records
        queue = self._queue[service]
        with_room, free_slots = self._free(call, records)
        if queue.may_pass(call.urgency, free_slots):
            return _untried(call, with_room)
        ticket = queue.join(call.urgency)
        if ticket is None:
            self._count(service, "queue_full")
            return records
        try:
            with_room = await self._wait(call, records, ticket)
        finally:
            queue.leave(ticket)
        self._count(service, "found" if with_room else "not_found")
        registry = self._state.targets
        return _untried(call, with_room) or [
            record for record in records if registry.is_in_use(record)
        ]

    async def _wait(
        self,
        call: admission.Call,
        records: Records,
        ticket: full_targets.Ticket,
    ) -> Records:
        """Return the targets with room at a call's turn, or none in time."""
        clock, queue = self._state.clock, self._queue[call.service.id]
        slots = sum(record.target.slots for record in records)
        while (
            clock.now_ms() + CHECK_MS <= self._wait_end_ms(call)
            and not self._state.is_closing
            and not self._has_no_target(call, records)
        ):
            await clock.sleep_ms(CHECK_MS)
            if not queue.is_next(ticket, slots):
                continue
            with_room, free_slots = self._free(call, records)
            if queue.is_next(ticket, free_slots):
                return with_room
        return []

    def _free(
        self, call: admission.Call, records: Records
    ) -> tuple[Records, int]:
        """Return the targets with room, and the number of free slots."""
        now_ms = self._state.clock.now_ms()
        full, registry = self._full[call.service.id], self._state.targets
        free_by_target = {
            record.target.id: full.free_slots(
                record.target.id,
                record.target.slots,
                record.running(now_ms),
                now_ms,
            )
            for record in records
            if _may_try(call, record)
            and registry.is_in_use(record)
            and not record.wait_ms(call.is_urgent, now_ms)
            and (record.is_relayed or record.suspect_until_ms <= now_ms)
        }
        with_room = [r for r in records if free_by_target.get(r.target.id, 0)]
        return with_room, sum(free_by_target.values())

    def _has_no_target(self, call: admission.Call, records: Records) -> bool:
        """Return whether all targets have failed, left, or take no calls."""
        now_ms, registry = self._state.clock.now_ms(), self._state.targets
        return not any(
            _may_try(call, record)
            and registry.is_in_use(record)
            and not record.wait_ms(call.is_urgent, now_ms)
            for record in records
        )

    def _wait_end_ms(self, call: admission.Call) -> float:
        limit_ms = call.deadline_ms - call.arrived_ms
        return call.arrived_ms + min(
            call.route.objective_ms - dispatching.PLAIN_CALL_MS,
            MAX_WAIT_FRACTION * limit_ms,
        )

    def _count(self, service: model.ServiceId, outcome: str) -> None:
        self._state.metrics.room_waits.labels(service, outcome).inc()


def _may_try(
    call: admission.Call, record: target_records.TargetRecord
) -> bool:
    """Return whether a target has not failed under a call."""
    failed = call.tried_targets - call.full_targets
    return record.target.id not in failed


def _untried(call: admission.Call, with_room: Records) -> Records:
    """Let a call try targets again that have got room since."""
    found = {record.target.id for record in with_room}
    call.tried_targets -= call.full_targets & found
    call.full_targets -= found
    return with_room
