"""Chooses the target of a request's next attempt, or refuses the request."""

import random
import typing

import structlog

from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_policy import dispatching
from cardamom_policy import refusals

from cardamom_gateway.locations import homes as homes_module
from cardamom_gateway import model
from cardamom_gateway.requests import admission
from cardamom_gateway.requests import model_waits
from cardamom_gateway.requests import plain_rooms
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_registry

LOG = structlog.get_logger("cardamom.gateway.choice")

# Longest wait for a model, as a fraction of the time to the deadline; it is
# longer if the route's objective is.
MODEL_WAIT_FRACTION = 0.6
# Time in which an adapter slot may become free.
ADAPTER_RETRY_MS = 120
# Operators end evacuations and change homes by hand.
NO_PLACE_RETRY_MS = 3_000

AdapterLoader = typing.Callable[
    [model.Target, str, str], typing.Awaitable[bool]
]


class MustWait(outcomes.RequestRefused):
    """Raised for a request whose targets are all at their limits or pause.

    One of them may take it after ``wait_ms``.
    """

    def __init__(self, targets: int, wait_ms: int) -> None:
        super().__init__(
            outcomes.Refusal(
                outcomes.Code.OVERLOADED,
                f"{targets} targets, each cold, at the limit that it states "
                "or pausing",
                outcomes.Step.QUEUE,
                not_run=True,
                retry_after_ms=refusals.spread_retry_after_ms(wait_ms),
            )
        )
        self.wait_ms = wait_ms


class TargetChoice:
    """Chooses targets by load, model, adapter and software version.

    ``load_adapter`` has an adapter loaded at a target and returns whether it
    is; ``report_waiting`` tells the holder of orders of waiting requests.
    ``may_begin_stream`` returns whether a stream that may be resumed may begin
    at a target; others are taken only if there is none of these.  ``source``
    is that of the random choice among near-equal targets.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        load_adapter: AdapterLoader,
        report_waiting: typing.Callable[[], None],
        may_begin_stream: typing.Callable[[model.Target], bool],
        source: random.Random | None = None,
    ) -> None:
        self._state = state
        self._source = source or random.Random()
        self._may_begin_stream = may_begin_stream
        self._load_adapter = load_adapter
        self._report_waiting = report_waiting
        self.rooms = plain_rooms.PlainRooms(state)

    async def select(
        self, call: admission.Call
    ) -> tuple[target_records.TargetRecord, dispatching.Choice]:
        """Return the target for the next attempt, with its adapter loaded.

        Raises RequestRefused if there is none, or if it would answer too late.
        """
        if call.service.engine is None:
            records = self._with_software(call, self._allowed(call))
            if not records:
                self._refuse_without_place(call)
            records = await self.rooms.with_room(call, records)
            return self._choose_record(call, records, None)
        spec = call.service.engine.model_by_name.get(call.head.model)
        if spec is None:
            raise admission.refused(
                outcomes.Code.NOT_FOUND,
                f"no model {call.head.model!r}",
                outcomes.Step.ROUTE,
            )
        prompt_tokens = call.head.prompt_tokens or 0
        if not call.sent_attempts and not call.failed_connections:
            self._state.demand.note(
                spec.name,
                prompt_tokens,
                call.head.answer_tokens,
                call.route.objective_ms,
                call.is_preferred,
            )
            if call.is_preferred:
                self._state.metrics.preferred.labels(call.route.id).inc()
        without_adapter: set[ids.TargetId] = set()
        while True:
            records = await self._targets_with_model(call, spec.name)
            eligible = [
                r for r in records if r.target.id not in without_adapter
            ]
            record, choice = self._choose_record(
                call, eligible or records, prompt_tokens
            )
            if not choice.needs_adapter:
                self._note_last_holder(call, record)
                return record, choice
            call.stage = admission.Stage.ADAPTER
            is_loaded = not record.is_moving(
                self._state.clock.now_ms()
            ) and await self._load_adapter(
                record.target, spec.name, call.head.adapter
            )
            if not self._state.targets.accepts(record):
                continue  # the target began to leave or pause meanwhile
            if is_loaded:
                self._note_last_holder(call, record)
                return record, choice
            without_adapter.add(record.target.id)
            if len(without_adapter) >= len(records):
                await self._wait_for_adapter(call, record)
                without_adapter.clear()

    async def _targets_with_model(
        self, call: admission.Call, model_name: str
    ) -> list[target_records.TargetRecord]:
        """Return the untried targets with a model, waiting for a load.

        Raises RequestRefused if the model would be loaded too late, or if no
        untried target has the software version that began the stream.
        """
        state = self._state
        wait_end_ms = self._wait_end_ms(call)
        records = self._untried(call, model_name)
        if not records and call.software_version is not None:
            # The targets of this version are few, and a broken connection
            # doesn't mean that the target has failed.
            call.tried_targets -= call.broken_targets
            records = self._untried(call, model_name)
        if records:
            return records
        self._refuse_without_place(call)
        self._check_software(call)
        call.stage = admission.Stage.MODEL
        demand_name = homes_module.demand_name(model_name, call.homes)
        if demand_name != model_name:
            state.demand.note(demand_name, 0, 0, call.route.objective_ms)
        wait = model_waits.ModelWait(
            state,
            call.service,
            model_waits.WaitedModel(model_name, demand_name),
            may_learn=not call.tried_targets and call.software_version is None,
            is_allowed=self._target_filter(call),
        )
        with state.demand.waiting(demand_name):
            self._report_waiting()
            while not records:
                remaining_ms = wait_end_ms - state.clock.now_ms()
                expected = wait.predict()
                if (
                    state.is_closing
                    or remaining_ms <= 0
                    or self._excess_ms(call, expected.deciding_ms) > 0
                ):
                    wait.note_refused(expected)
                    raise self._not_loaded(call, model_name, expected)
                await state.targets.wait_for_change(remaining_ms)
                records = self._untried(call, model_name)
                if not records:
                    self._refuse_without_place(call)
        wait.note_loaded()
        return records

    def _target_filter(
        self, call: admission.Call
    ) -> target_registry.TargetFilter:
        """Return whether targets are in the regions that may run a call."""
        homes = call.homes
        if not homes.are_bound:
            return target_registry.allow_any
        regions = self._state.settings.region_by_data_centre
        return lambda target: homes.includes(target.data_centre, regions)

    def _allowed(
        self, call: admission.Call
    ) -> list[target_records.TargetRecord]:
        return self._state.targets.of_service(
            call.service.id, self._target_filter(call)
        )

    def _refuse_without_place(self, call: admission.Call) -> None:
        """Raise RequestRefused if no target is in an allowed place."""
        if self._allowed(call):
            return
        evacuated = self._state.targets.evacuated_of_service(
            call.service.id, self._target_filter(call)
        )
        if evacuated:
            data_centres = sorted({r.target.data_centre for r in evacuated})
            reason = "evacuated"
            message = f"every target is evacuated: {', '.join(data_centres)}"
        elif call.homes.are_bound:
            reason = "homes"
            message = f"no target is in a home of the request: {call.homes}"
        else:
            return
        if call.may_have_run:
            raise target_failed(
                call, f"{call.last_failure}; {message}", outcomes.Step.ROUTE
            )
        self._state.metrics.location_refusals.labels(
            call.service.id, reason
        ).inc()
        raise admission.refused(
            outcomes.Code.NO_TARGET,
            message,
            outcomes.Step.ROUTE,
            retry_after_ms=NO_PLACE_RETRY_MS,
        )

    def _note_last_holder(
        self, call: admission.Call, record: target_records.TargetRecord
    ) -> None:
        """Log and count a choice that only a missing copy justifies."""
        if not self._state.targets.is_evacuated(record.target):
            return
        data_centre = record.target.data_centre
        self._state.metrics.last_holder_choices.labels(data_centre).inc()
        LOG.info(
            "evacuation: last holder",
            id=call.head.attempt,
            target=record.target.id,
            data_centre=data_centre,
            model=call.head.model,
        )

    def _wait_end_ms(self, call: admission.Call) -> float:
        """Return the time at which a wait for a model or adapter ends."""
        return min(
            call.first_event_deadline_ms,
            call.arrived_ms
            + max(
                call.route.objective_ms,
                MODEL_WAIT_FRACTION * (call.deadline_ms - call.arrived_ms),
            ),
        )

    def _excess_ms(self, call: admission.Call, first_event_ms: float) -> float:
        """Return by how many ms an answer would be late, if above 0."""
        now_ms = self._state.clock.now_ms()
        return max(
            refusals.excess_ms(
                first_event_ms, call.first_event_deadline_ms - now_ms
            ),
            refusals.excess_ms(
                first_event_ms + refusals.answer_ms(call.head.expected_tokens),
                call.deadline_ms - now_ms,
            ),
        )

    def _untried(
        self, call: admission.Call, model_name: str
    ) -> list[target_records.TargetRecord]:
        records = self._state.targets.targets_with_model(
            call.service.id, model_name, self._target_filter(call)
        )
        untried = [
            record
            for record in records
            if record.target.id not in call.tried_targets
        ]
        return self._with_software(call, untried)

    def _with_software(
        self,
        call: admission.Call,
        records: list[target_records.TargetRecord],
    ) -> list[target_records.TargetRecord]:
        """Return the targets that may begin or continue a call's stream."""
        if call.software_version is not None:
            return [
                record
                for record in records
                if record.target.software_version == call.software_version
            ]
        if not call.route.is_resumable:
            return records
        return [
            record
            for record in records
            if self._may_begin_stream(record.target)
        ] or records

    def _check_software(self, call: admission.Call) -> None:
        """Raise RequestRefused if no target can continue the stream."""
        if call.software_version is None:
            return
        records = self._with_software(call, self._allowed(call))
        if any(r.target.id not in call.tried_targets for r in records):
            return
        message = (
            "no other target has software version "
            f"{call.software_version!r}, which began the stream"
        )
        if call.may_have_run:
            raise target_failed(
                call, f"{call.last_failure}; {message}", outcomes.Step.ROUTE
            )
        raise admission.refused(
            outcomes.Code.NO_TARGET,
            message,
            outcomes.Step.ROUTE,
            retry_after_ms=target_records.FIRST_SUSPECT_MS,
        )

    def _not_loaded(
        self,
        call: admission.Call,
        model_name: str,
        expected: model_waits.Prediction,
    ) -> outcomes.RequestRefused:
        expected_ms, queue_ms = expected.first_event_ms, expected.queue_ms
        message = (
            f"model {model_name} is not loaded on any target; "
            f"expected wait {expected_ms:.0f} ms"
        )
        if queue_ms >= 1:
            message += f", {queue_ms:.0f} ms of it until the load begins"
        if call.may_have_run:
            return target_failed(
                call, f"{call.last_failure}; {message}", outcomes.Step.QUEUE
            )
        self._state.demand.note_retry_after(
            homes_module.demand_name(model_name, call.homes), int(expected_ms)
        )
        self._report_waiting()
        return admission.refused(
            outcomes.Code.MODEL_LOADING,
            message,
            outcomes.Step.QUEUE,
            retry_after_ms=int(expected_ms),
        )

    def _choose_record(
        self,
        call: admission.Call,
        records: list[target_records.TargetRecord],
        prompt_tokens: int | None,
    ) -> tuple[target_records.TargetRecord, dispatching.Choice]:
        state = self._state
        candidates = state.targets.candidates(
            records, call.head, call.tried_targets, call.is_urgent
        )
        choice = dispatching.choose(
            candidates,
            prompt_tokens,
            call.route.objective_ms,
            state.peer_figures.figures(any(c.is_local for c in candidates)),
            self._source,
            call.route.event_interval_objective_ms,
        )
        if choice is None:
            if call.may_have_run:
                raise target_failed(
                    call, call.last_failure, outcomes.Step.FIRST_BYTE
                )
            self._refuse_if_all_wait(call, records)
            raise admission.refused(
                outcomes.Code.NO_TARGET,
                f"{len(records)} targets, all of them tried",
                outcomes.Step.ROUTE,
                retry_after_ms=target_records.FIRST_SUSPECT_MS,
            )
        excess_ms = self._excess_ms(call, choice.first_event_ms)
        if not call.may_have_run and excess_ms > 0:
            raise admission.refused(
                outcomes.Code.OVERLOADED,
                f"first event in {choice.first_event_ms:.0f} ms, "
                f"{excess_ms:.0f} ms too late",
                outcomes.Step.QUEUE,
                retry_after_ms=refusals.retry_after_ms(excess_ms),
            )
        state.metrics.choices.labels(
            call.service.id,
            "cheapest" if choice.near_equal == 1 else "near_equal",
        ).inc()
        return state.targets.by_id[choice.id], choice

    def _refuse_if_all_wait(
        self, call: admission.Call, records: list[target_records.TargetRecord]
    ) -> None:
        """Raise MustWait if targets are left, but none takes requests."""
        now_ms = self._state.clock.now_ms()
        waits_ms = [
            record.wait_ms(call.is_urgent, now_ms)
            for record in records
            if record.target.id not in call.tried_targets
        ]
        if not waits_ms:
            return
        raise MustWait(len(waits_ms), min(waits_ms))

    async def _wait_for_adapter(
        self, call: admission.Call, record: target_records.TargetRecord
    ) -> None:
        """Wait before another load of an adapter.

        Raises RequestRefused when the time to wait is over.
        """
        head = call.head
        now_ms = self._state.clock.now_ms()
        if self._wait_end_ms(call) > now_ms and not self._state.is_closing:
            await self._state.targets.wait_for_change(ADAPTER_RETRY_MS)
            return
        if call.may_have_run:
            raise target_failed(call, call.last_failure, outcomes.Step.QUEUE)
        raise admission.refused(
            outcomes.Code.MODEL_LOADING,
            f"adapter {head.adapter} of {head.model} could not be loaded",
            outcomes.Step.QUEUE,
            peer=record.target.id,
            retry_after_ms=target_records.FIRST_SUSPECT_MS,
        )


def target_failed(
    call: admission.Call, reason: str, step: outcomes.Step
) -> outcomes.RequestRefused:
    """Return a RequestRefused error for a request that may have run."""
    return outcomes.RequestRefused(
        outcomes.Refusal(
            outcomes.Code.TARGET_FAILED,
            reason,
            step,
            not_run=False,
            peer=call.last_target,
        )
    )
