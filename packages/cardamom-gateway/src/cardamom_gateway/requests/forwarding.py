"""Serves a request: admission, attempts at targets, relay of the answer."""

import asyncio
import contextlib
import dataclasses
import typing

import aiohttp
from aiohttp import web
import structlog

from cardamom_kernel import held_bytes
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_platform import answer_bodies
from cardamom_platform import pools
from cardamom_policy import dispatching
from cardamom_policy import refusals
from cardamom_policy import speeds

from cardamom_gateway.fleet import suspect_reports
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway.requests import admission
from cardamom_gateway.requests import attempts
from cardamom_gateway.requests import caller_answers
from cardamom_gateway.requests import relaying
from cardamom_gateway.requests import stream_origins
from cardamom_gateway.requests import target_choice
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import permit_client
from cardamom_gateway.targets import reachability
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_speeds

LOG = structlog.get_logger("cardamom.gateway.forward")

# Time after the deadline in which a target's own answer still arrives.
TIMEOUT_GRACE_MS = 40
# Number of targets at which the connections of one request may fail.
MAX_FAILED_CONNECTIONS = 4
# A longer wait for a permit is left to the caller.
MAX_ROOM_WAIT_MS = 50
# Longest time for such waits, as a fraction of the route's objective.
ROOM_WAIT_FRACTION = 0.5
# Silence between two events after which a stream is resumed elsewhere, as a
# fraction of the time after which its caller leaves.
STALL_FRACTION = 0.75
MS_PER_S = 1000
FIRST_ERROR_STATUS = 400


@dataclasses.dataclass(frozen=True)
class NoTimeLeft:
    """Why a request gets no answer in time, and the codes of its refusal."""

    reason: str
    code_if_sent: outcomes.Code
    code_if_not_run: outcomes.Code


DEADLINE_PASSED = NoTimeLeft(
    "the deadline has passed",
    outcomes.Code.DEADLINE_EXCEEDED,
    outcomes.Code.DEADLINE_UNREACHABLE,
)
STOPPED = NoTimeLeft(
    "this instance has stopped",
    outcomes.Code.TARGET_FAILED,
    outcomes.Code.DRAINING,
)

OriginFinder = typing.Callable[
    [ids.AttemptId, model.ServiceId],
    typing.Awaitable[stream_origins.Origin | None],
]


class Forwarder:
    """Forwards requests of callers to targets and relays the answers."""

    def __init__(
        self,
        state: state_module.GatewayState,
        client: attempts.TargetClient,
        load_adapter: target_choice.AdapterLoader,
        on_broken_attempt: typing.Callable[[attempts.Attempt], None],
        report_waiting: typing.Callable[[], None],
        report_rates: typing.Callable[[], None],
        on_cleared: typing.Callable[[str], None],
        suspect_parts: suspect_reports.SuspectReports,
        find_origin: OriginFinder,
        may_begin_stream: typing.Callable[[model.Target], bool],
        on_stream_begun: typing.Callable[
            [ids.AttemptId, stream_origins.Origin], None
        ],
        permits: permit_client.PermitClient,
        reachable: reachability.Reachability,
    ) -> None:
        self._state = state
        self._admission = admission.Admission(
            state, report_rates, suspect_parts
        )
        self._choice = target_choice.TargetChoice(
            state, load_adapter, report_waiting, may_begin_stream
        )
        self._answers = caller_answers.CallerAnswers(state)
        self._suspect_parts = suspect_parts
        self._client = client
        self._on_broken_attempt = on_broken_attempt
        self._on_cleared = on_cleared
        self._find_origin = find_origin
        self._on_stream_begun = on_stream_begun
        self._permits = permits
        self._reachability = reachable
        self.in_flight = 0
        self._deadlines: set[asyncio.Timeout] = set()
        self._is_ended = False

    def end_requests(self) -> None:
        """Answer all requests in flight now, as this instance ends."""
        self._is_ended = True
        now_s = asyncio.get_running_loop().time()
        for deadline in self._deadlines:
            if not deadline.expired():
                deadline.reschedule(now_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the answer to a request, which may be a refusal."""
        self.in_flight += 1
        try:
            return await self._handle(request)
        finally:
            self.in_flight -= 1

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_ms = self._state.clock.now_ms()
        call: admission.Call | None = None
        try:
            call = await self._admission.admit(request, arrived_ms)
            return await self._serve_before_deadline(call)
        except outcomes.RequestRefused as error:
            if call is not None and call.has_started_answer:
                return self._answers.abort(call, error.refusal.message)
            return self._answers.refuse(
                request, call, error.refusal, arrived_ms
            )
        except interfaces.MalformedMessage as error:
            refusal = outcomes.Refusal(
                outcomes.Code.BAD_REQUEST,
                str(error),
                outcomes.Step.RECEIVE,
                not_run=True,
            )
            return self._answers.refuse(request, call, refusal, arrived_ms)
        except asyncio.CancelledError:
            self._answers.note_caller_left(request, call, arrived_ms)
            raise

    async def _serve_before_deadline(
        self, call: admission.Call
    ) -> web.StreamResponse:
        remaining_ms = call.deadline_ms - self._state.clock.now_ms()
        deadline = asyncio.timeout(
            max(0, remaining_ms + TIMEOUT_GRACE_MS) / MS_PER_S
        )
        try:
            async with deadline:
                self._deadlines.add(deadline)
                return await self._serve(call)
        except TimeoutError:
            late = STOPPED if self._is_ended else DEADLINE_PASSED
            if call.has_started_answer:
                return self._answers.abort(call, late.reason)
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    late.code_if_sent
                    if call.sent_attempts
                    else late.code_if_not_run,
                    late.reason,
                    outcomes.Step.FIRST_BYTE,
                    not_run=not call.sent_attempts,
                    peer=call.last_target,
                    retry_after_ms=None
                    if call.sent_attempts
                    else admission.MIN_RATE_RETRY_MS,
                )
            ) from None
        finally:
            self._deadlines.discard(deadline)

    async def _serve(self, call: admission.Call) -> web.StreamResponse:
        if call.route.is_resumable and call.head.last_event:
            await self._set_origin(call)
        while True:
            try:
                record, choice, permit = await self._select_with_permit(call)
            except target_choice.MustWait as error:
                if not self._may_wait(call, error.wait_ms):
                    raise
                await self._state.clock.sleep_ms(error.wait_ms)
                continue
            was_rejected = False
            call.has_permit = permit is not None
            try:
                return await self._try_target(call, record, choice)
            except attempts.AttemptFailed as failure:
                was_rejected = failure.is_rejection
                await self._note_failure(call, record, failure)
                if not self._may_retry(call, failure):
                    return self._end_failed_call(call, failure.reason)
            finally:
                if permit is not None:
                    self._permits.finish(permit, was_rejected)

    async def _select_with_permit(
        self, call: admission.Call
    ) -> tuple[
        target_records.TargetRecord,
        dispatching.Choice,
        permit_client.Permit | None,
    ]:
        """Return the target for the next attempt, with a permit if needed.

        Raises RequestRefused as ``TargetChoice.select`` does, MustWait if
        targets are left, but none takes requests now.
        """
        while True:
            record, choice = await self._choice.select(call)
            now_ms = self._state.clock.now_ms()
            need = record.permit_need(now_ms)
            if need is None:
                return record, choice, None
            permit = await self._permits.acquire(
                record, call.is_urgent, call.deadline_ms - now_ms, need
            )
            if permit is None:
                continue
            if self._state.targets.accepts(record):
                return record, choice, permit
            self._permits.finish(permit, was_rejected=False)

    def _may_wait(self, call: admission.Call, wait_ms: int) -> bool:
        """Return whether a request may wait for room at its targets."""
        now_ms = self._state.clock.now_ms()
        wait_end_ms = call.arrived_ms + ROOM_WAIT_FRACTION * min(
            call.route.objective_ms, call.deadline_ms - call.arrived_ms
        )
        return wait_ms <= MAX_ROOM_WAIT_MS and now_ms + wait_ms < wait_end_ms

    async def _try_target(
        self,
        call: admission.Call,
        record: target_records.TargetRecord,
        choice: dispatching.Choice,
    ) -> web.StreamResponse:
        """Send a request to a target after the last checks.

        Raises RequestRefused, or AttemptFailed if there may be another try.
        """
        if not call.sent_attempts:
            self._admission.refuse_crashing_part(call)
        part = self._admission.crashing_part(call)
        if part is not None:
            return self._end_failed_call(
                call, admission.crashing_part_message(part)
            )
        if call.sent_attempts and not self._state.take_retry(call.service.id):
            return self._end_failed_call(call, "the retry budget is exhausted")
        self._admission.charge(call, is_sent=True)
        return await self._attempt(call, record, choice)

    async def _set_origin(self, call: admission.Call) -> None:
        """Set service and software version of a stream that is resumed.

        Raises RequestRefused if the version can't be known, since a stream
        must not go on at another one.
        """
        call.stage = admission.Stage.ORIGIN
        origin = await self._find_origin(
            call.head.resumed_attempt, call.service.id
        )
        if origin is None:
            raise admission.refused(
                outcomes.Code.NO_TARGET,
                "it is unknown which software version began the stream",
                outcomes.Step.ROUTE,
                retry_after_ms=refusals.MIN_RETRY_AFTER_MS,
            )
        configuration = self._state.configuration
        assert configuration is not None
        services = configuration.service_by_id
        if any(s.service == origin.service for s in call.route.splits):
            call.service = services.get(origin.service, call.service)
        if call.service.id == origin.service:
            call.software_version = origin.software_version

    def _may_retry(
        self, call: admission.Call, failure: attempts.AttemptFailed
    ) -> bool:
        if failure.kind is attempts.FailureKind.NOT_CONNECTED:
            return call.failed_connections < MAX_FAILED_CONNECTIONS
        if call.sent_attempts >= call.route.max_attempts or call.is_trial:
            return False
        return not call.may_have_run or call.route.is_retryable

    async def _note_failure(
        self,
        call: admission.Call,
        record: target_records.TargetRecord,
        failure: attempts.AttemptFailed,
    ) -> None:
        state = self._state
        call.tried_targets.add(record.target.id)
        if failure.kind is attempts.FailureKind.NOT_RUN:
            call.refusing_targets.add(record.target.id)
        if failure.is_rejection:
            self._choice.rooms.note_rejected(call, record)
        relay = call.relay
        call.event_buffer.drop_incomplete()
        call.last_failure = str(failure)
        if failure.kind is attempts.FailureKind.NOT_CONNECTED:
            call.failed_connections += 1
            call.sent_attempts -= 1
            call.broken_targets.discard(record.target.id)
            await self._check_reach(call, record)
        if failure.kind is attempts.FailureKind.BROKEN:
            call.may_have_run = True
            call.broken_targets.add(record.target.id)
        if failure.kind is attempts.FailureKind.BROKEN or (
            failure.kind is attempts.FailureKind.NOT_CONNECTED
            and not record.is_relayed
        ):
            record.note_outcome(has_failed=True)
        state.metrics.attempts.labels(
            call.service.id, failure.kind.value
        ).inc()
        LOG.info(
            "forward: attempt failed",
            id=call.head.attempt,
            target=record.target.id,
            software=record.target.software_version,
            sent=call.sent_attempts,
            relay=relay.id if relay else "",
            ending=failure.kind.value,
            reason=failure.reason,
            failures=round(record.failure_ratio, 2),
            **state.data_versions(),
        )

    async def _check_reach(
        self, call: admission.Call, record: target_records.TargetRecord
    ) -> None:
        """Find out whether a target that wasn't connected is reached by peers.

        If so, it may be tried once more, through another relay.
        """
        if call.relay is not None:
            call.tried_relays.add(call.relay.id)
            if call.failed_connections > 1:
                self._reachability.on_relay_failed(record)
                return
        else:
            record.record_connect_failure(self._state.clock.now_ms())
        if await self._reachability.is_reached_soon(record):
            call.tried_targets.discard(record.target.id)

    def _end_failed_call(
        self, call: admission.Call, reason: str
    ) -> web.StreamResponse:
        if call.has_started_answer:
            return self._answers.abort(call, reason)
        if call.may_have_run:
            raise target_choice.target_failed(
                call, reason, outcomes.Step.FIRST_BYTE
            )
        raise admission.refused(
            outcomes.Code.NO_TARGET,
            reason,
            outcomes.Step.SEND,
            peer=call.last_target,
            retry_after_ms=refusals.MIN_RETRY_AFTER_MS,
        )

    async def _attempt(
        self,
        call: admission.Call,
        record: target_records.TargetRecord,
        choice: dispatching.Choice,
    ) -> web.StreamResponse:
        state, head = self._state, call.head
        cached_tokens = record.prefix_cache.cached_tokens(
            head.model_and_adapter, head.prompt_parts
        )
        uncached_tokens = max(0, (head.prompt_tokens or 0) - cached_tokens)
        attempt = attempts.Attempt(
            record,
            state.clock,
            uncached_tokens,
            call.fingerprint,
            head.model_and_adapter,
            call.part_digests,
            self._reachability.relay_for(
                record, call.tried_relays, call.homes
            ),
            outlasts_silence=call.route.kind is not model.CallKind.IDEMPOTENT,
        )
        call.relay = attempt.relay
        kind = target_speeds.kind_of(call.service, call.route)
        state.speeds.watch(attempt, kind, choice)
        sent_ms = state.clock.now_ms()
        call.stage = admission.Stage.CONNECTION
        call.sent_attempts += 1
        call.last_target = record.target.id
        with attempt:
            record.prefix_cache.record_prompt(
                head.model_and_adapter, head.prompt_parts
            )
            try:
                attempt.response = await self._send(call, attempt)
                call.stage = admission.Stage.BODY
                attempt.note_received()
                if kind is speeds.Kind.PLAIN:
                    attempt.note_first_event()
                if attempt.relay is None:
                    record.record_connect_success(state.clock.now_ms())
                answer = await self._relay_answer(call, attempt)
            except asyncio.CancelledError:
                if not attempt.absorb_cancel():
                    raise
                raise attempts.AttemptFailed(
                    attempts.FailureKind.BROKEN, "the target is silent"
                ) from None
            except attempts.AttemptFailed as failure:
                if failure.kind is attempts.FailureKind.BROKEN:
                    self._on_broken_attempt(attempt)
                raise
            framing = answer_bodies.framing(attempt.response)
            attempt.response.release()
            attempt.response = None
        record.note_outcome(has_failed=answer.status >= 500)
        if state.suspicions.clear(call.fingerprint):
            self._on_cleared(call.fingerprint)
        if answer.status < FIRST_ERROR_STATUS:
            for part in call.part_digests:
                self._suspect_parts.note_finished(part)
        state.metrics.attempts.labels(call.service.id, "answered").inc()
        now_ms = state.clock.now_ms()
        LOG.info(
            "forward: answered",
            id=head.attempt,
            route=call.route.id,
            model=head.model,
            team=call.team.id if call.team else "",
            charged=round(call.charged_cost),
            resumes=head.resumed_attempt,
            target=record.target.id,
            software=record.target.software_version,
            limit=record.limit.rate_per_s if record.limit else None,
            relay=call.relay.id if call.relay else "",
            status=answer.status,
            framing=framing.value,
            incomplete_bytes=len(call.event_buffer.incomplete),
            sent=call.sent_attempts,
            predicted_ms=round(choice.first_event_ms),
            near_equal=choice.near_equal,
            pace=round(choice.pace, 1),
            waited_ms=sent_ms - call.arrived_ms,
            first_ms=(call.first_byte_ms or now_ms) - call.arrived_ms,
            took_ms=now_ms - call.arrived_ms,
        )
        return answer

    async def _send(
        self, call: admission.Call, attempt: attempts.Attempt
    ) -> aiohttp.ClientResponse:
        """Send an attempt's request to the target, or through its relay."""
        record, relay = attempt.record, attempt.relay
        outgoing = self._outgoing_request(call, attempt)
        if relay is None:
            return await self._client.send(record, outgoing)
        return await self._client.send(
            record,
            relaying.outgoing_through_relay(outgoing, record, call.has_permit),
            f"{relay.host}:{relay.port}",
        )

    def _outgoing_request(
        self, call: admission.Call, attempt: attempts.Attempt
    ) -> attempts.OutgoingRequest:
        request, record = call.request, attempt.record
        remaining_ms = call.deadline_ms - self._state.clock.now_ms()
        forwarding_fields = interfaces.ForwardingFields(
            target=record.target.id,
            team=call.team.id if call.team else None,
            remaining_ms=int(remaining_ms),
            urgency=call.urgency if call.service.engine else -1,
            last_event=call.event_buffer.last_event,
        )
        return attempts.OutgoingRequest(
            method=request.method,
            raw_path=request.raw_path,
            headers=self._state.codec.encode_head(
                request.headers.items(), forwarding_fields
            ),
            body=call.body,
            attempt=call.head.attempt,
            # A kept one may bring the earlier refusal of a target once more.
            needs_new_connection=not call.route.is_retryable
            or record.target.id in call.refusing_targets,
            on_sent=lambda: _note_sent(call, attempt),
        )

    async def _relay_answer(
        self, call: admission.Call, attempt: attempts.Attempt
    ) -> web.StreamResponse:
        response = attempt.response
        assert response is not None
        try:
            if call.route.kind is model.CallKind.STREAM and response.ok:
                _check_continues(call, response)
                return await self._relay_stream(call, attempt, response)
            body = await answer_bodies.read(
                response, held=self._state.held_answers
            )
        except attempts.TRANSFER_ERRORS as error:
            raise attempts.AttemptFailed(
                attempts.FailureKind.BROKEN, pools.describe(error)
            ) from error
        can_retry = (
            call.route.is_retryable
            and call.sent_attempts < call.route.max_attempts
        )
        if response.status >= 500 and (can_retry or call.has_started_answer):
            raise attempts.AttemptFailed(
                attempts.FailureKind.BROKEN, f"status {response.status}"
            )
        if call.has_started_answer:
            raise attempts.AttemptFailed(
                attempts.FailureKind.BROKEN,
                f"status {response.status} for a resumed stream",
            )
        return self._answers.complete(call, response, body)

    async def _relay_stream(
        self,
        call: admission.Call,
        attempt: attempts.Attempt,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        with self._state.held_answers.hold(response.close) as holding:
            await self._relay_events(call, attempt, response, holding)
        if call.event_buffer.is_inside_event and answer_bodies.is_event_stream(
            response
        ):
            raise attempts.AttemptFailed(
                attempts.FailureKind.BROKEN, "the stream ended inside an event"
            )
        answer = await self._answers.start(call, response)
        if call.event_buffer.incomplete:
            await self._answers.write(answer, call.event_buffer.incomplete)
        await self._answers.finish(answer)
        self._answers.count(call.route.kind.value, response.status, "answered")
        return answer

    async def _relay_events(
        self,
        call: admission.Call,
        attempt: attempts.Attempt,
        response: aiohttp.ClientResponse,
        holding: held_bytes.Holding,
    ) -> None:
        """Relay the complete events of a stream up to its end."""
        connection_end = answer_bodies.connection_end(response)
        async with _stall_timeout() as stall:
            async for data in response.content.iter_any():
                attempt.note_received()
                last_event = call.event_buffer.last_event
                events = call.event_buffer.feed(data)
                holding.resize(len(events) + len(call.event_buffer.incomplete))
                if not events:
                    continue
                attempt.note_first_event()
                self._note_begun(call, attempt)
                stall_end_s = stall.when()
                stall.reschedule(None)  # a caller may read slowly
                answer = await self._answers.start(call, response)
                await self._answers.write(answer, events)
                if call.event_buffer.last_event != last_event:
                    stall_end_s = _stall_end_s(call)
                stall.reschedule(stall_end_s)
            await answer_bodies.wait_for_connection_end(connection_end)

    def _note_begun(
        self, call: admission.Call, attempt: attempts.Attempt
    ) -> None:
        """Record the origin of a stream before its first event is relayed."""
        if call.software_version is not None:
            return
        target = attempt.record.target
        call.software_version = target.software_version
        if call.route.is_resumable:
            self._on_stream_begun(
                call.head.attempt,
                stream_origins.Origin(target.service, target.software_version),
            )


@contextlib.asynccontextmanager
async def _stall_timeout() -> typing.AsyncIterator[asyncio.Timeout]:
    """Raise AttemptFailed for a stream without an event until the timeout."""
    timeout = asyncio.timeout(None)
    try:
        async with timeout:
            yield timeout
    except TimeoutError:
        if not timeout.expired():
            raise
        raise attempts.AttemptFailed(
            attempts.FailureKind.BROKEN, "the stream has stalled"
        ) from None


def _stall_end_s(call: admission.Call) -> float | None:
    """Return when a stream whose last event is just sent counts as stalled.

    This is by the event loop's clock; None if it can't go on elsewhere.
    """
    if (
        not call.route.is_resumable
        or call.sent_attempts >= call.route.max_attempts
    ):
        return None
    stall_ms = STALL_FRACTION * call.route.event_timeout_ms
    return asyncio.get_running_loop().time() + stall_ms / MS_PER_S


def _check_continues(
    call: admission.Call, response: aiohttp.ClientResponse
) -> None:
    """Raise AttemptFailed for an answer that isn't the rest of a stream.

    The caller has read the head of the first answer, and takes whatever
    follows for events of that one.
    """
    if call.answer is not None and not (
        response.status == call.answer.status
        and answer_bodies.is_event_stream(response)
    ):
        raise attempts.AttemptFailed(
            attempts.FailureKind.BROKEN,
            f"status {response.status}, {response.content_type} "
            "for the rest of a stream",
        )


def _note_sent(call: admission.Call, attempt: attempts.Attempt) -> None:
    attempt.note_sent()
    call.stage = admission.Stage.ANSWER
