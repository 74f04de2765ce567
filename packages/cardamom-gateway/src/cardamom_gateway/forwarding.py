"""The path of a request: limits, a target, attempts, the answer."""

import asyncio
import typing

import aiohttp
from aiohttp import web
import structlog

from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_policy import dispatching
from cardamom_policy import loading_waits
from cardamom_policy import refusals
from cardamom_policy import tiering

from cardamom_gateway import admission
from cardamom_gateway import attempts
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import state as state_module
from cardamom_gateway import target_book

LOG = structlog.get_logger("cardamom.gateway.forward")

TIMEOUT_GRACE_MS = 40  # for a target's own answer at the deadline
MAX_UNREACHED = 4  # targets that may refuse the connection, for one request
MODEL_WAIT_PART = 0.6  # of the deadline that a request waits for a model
ADAPTER_RETRY_MS = 120  # until an adapter's place may have become free
MS_PER_S = 1000

AdapterLoader = typing.Callable[
    [model.Target, str, str], typing.Awaitable[bool]
]


class Forwarder:
    """Answers callers' requests from targets."""

    def __init__(
        self,
        state: state_module.GatewayState,
        client: attempts.TargetClient,
        load_adapter: AdapterLoader,
        note_broken: typing.Callable[[attempts.Attempt], None],
        note_waiting: typing.Callable[[], None],
        tell_rates: typing.Callable[[], None],
    ) -> None:
        self._state = state
        self._admission = admission.Admission(state, tell_rates)
        self._client = client
        self._load_adapter = load_adapter
        self._note_broken = note_broken
        self._note_waiting = note_waiting
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
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
            return await self._serve_in_time(call)
        except outcomes.Refused as error:
            if call is not None and call.has_begun:
                return self._break_off(call, error.refusal.message)
            return self._refuse(request, call, error.refusal, arrived_ms)
        except interfaces.MalformedMessage as error:
            refusal = outcomes.Refusal(
                outcomes.Code.BAD_REQUEST,
                str(error),
                outcomes.Step.RECEIVE,
                not_run=True,
            )
            return self._refuse(request, call, refusal, arrived_ms)

    async def _serve_in_time(self, call: admission.Call) -> web.StreamResponse:
        left_ms = call.deadline_ms - self._state.clock.now_ms()
        try:
            async with asyncio.timeout(
                max(0, left_ms + TIMEOUT_GRACE_MS) / MS_PER_S
            ):
                return await self._serve(call)
        except TimeoutError:
            if call.has_begun:
                return self._break_off(call, "the deadline has passed")
            raise outcomes.Refused(
                outcomes.Refusal(
                    outcomes.Code.DEADLINE_EXCEEDED
                    if call.sent
                    else outcomes.Code.DEADLINE_UNREACHABLE,
                    "the deadline has passed",
                    outcomes.Step.FIRST_BYTE,
                    not_run=not call.sent,
                    peer=call.last_target,
                    retry_after_ms=None
                    if call.sent
                    else admission.MIN_RATE_RETRY_MS,
                )
            ) from None

    async def _serve(self, call: admission.Call) -> web.StreamResponse:
        while True:
            record, choice = await self._place(call)
            if call.sent and not self._state.take_repeat(call.service.id):
                return self._give_up(call, "the retry budget is spent")
            self._admission.charge(call, is_sent=True)
            try:
                return await self._attempt(call, record, choice)
            except attempts.AttemptFailed as failure:
                self._note_failure(call, record, failure)
                if not self._may_go_on(call, failure):
                    return self._give_up(call, failure.reason)

    def _may_go_on(
        self, call: admission.Call, failure: attempts.AttemptFailed
    ) -> bool:
        if failure.ending is attempts.Ending.NOT_CONNECTED:
            return call.unreached < MAX_UNREACHED
        if call.sent >= call.route.max_attempts:
            return False
        return not call.may_have_run or call.route.is_repeatable

    def _note_failure(
        self,
        call: admission.Call,
        record: target_book.TargetRecord,
        failure: attempts.AttemptFailed,
    ) -> None:
        state = self._state
        call.tried.add(record.target.id)
        call.cutter.restart()
        call.last_failure = str(failure)
        if failure.ending is attempts.Ending.NOT_CONNECTED:
            call.unreached += 1
            call.sent -= 1
            record.note_unreached(state.clock.now_ms())
        if failure.ending is attempts.Ending.BROKEN:
            call.may_have_run = True
        if failure.ending is not attempts.Ending.NOT_RUN:
            record.note_outcome(has_failed=True)
        state.metrics.attempts.labels(
            call.service.id, failure.ending.value
        ).inc()
        LOG.info(
            "forward: attempt failed",
            id=call.head.attempt,
            target=record.target.id,
            sent=call.sent,
            ending=failure.ending.value,
            reason=failure.reason,
            failures=round(record.failures, 2),
            **state.known_as_of(),
        )

    def _give_up(
        self, call: admission.Call, reason: str
    ) -> web.StreamResponse:
        if call.has_begun:
            return self._break_off(call, reason)
        if call.may_have_run:
            raise _target_failed(call, reason, outcomes.Step.FIRST_BYTE)
        raise admission.refused(
            outcomes.Code.NO_TARGET,
            reason,
            outcomes.Step.SEND,
            peer=call.last_target,
            retry_after_ms=refusals.MIN_RETRY_AFTER_MS,
        )

    async def _place(
        self, call: admission.Call
    ) -> tuple[target_book.TargetRecord, dispatching.Choice]:
        """Return the target for the next attempt."""
        if call.service.engine is None:
            records = self._state.book.of_service(call.service.id)
            return self._choose(call, records, None)
        spec = call.service.engine.model_by_name.get(call.head.model)
        if spec is None:
            raise admission.refused(
                outcomes.Code.NOT_FOUND,
                f"no model {call.head.model!r}",
                outcomes.Step.ROUTE,
            )
        prompt = call.head.prompt_tokens or 0
        if not call.sent and not call.unreached:
            self._state.demand.note(
                spec.name,
                prompt,
                call.head.answer_tokens,
                call.route.objective_ms,
            )
        lacking: set[ids.TargetId] = set()
        while True:
            records = await self._holders(call, spec.name)
            roomy = [r for r in records if r.target.id not in lacking]
            record, choice = self._choose(call, roomy or records, prompt)
            if not choice.needs_adapter:
                return record, choice
            is_there = await self._load_adapter(
                record.target, spec.name, call.head.adapter
            )
            if not self._state.book.is_in_use(record):
                continue  # it has begun to leave meanwhile
            if is_there:
                return record, choice
            lacking.add(record.target.id)
            if len(lacking) >= len(records):
                await self._await_adapter(call, record)
                lacking.clear()

    async def _holders(
        self, call: admission.Call, name: str
    ) -> list[target_book.TargetRecord]:
        """Return the holders of a model, waiting for a load if none is."""
        state = self._state
        wait_until_ms = self._wait_until_ms(call)
        records = self._untried(call, name)
        if records:
            return records
        with state.demand.waiting(name):
            self._note_waiting()
            while not records:
                left_ms = wait_until_ms - state.clock.now_ms()
                expected_ms = self._model_wait_ms(call, name)
                if (
                    state.is_closing
                    or left_ms <= 0
                    or self._excess_ms(call, expected_ms) > 0
                ):
                    raise self._not_loaded(call, name, expected_ms)
                await state.book.wait_for_change(left_ms)
                records = self._untried(call, name)
        return records

    def _wait_until_ms(self, call: admission.Call) -> float:
        """Return until when a request waits for a model or an adapter."""
        return min(
            call.first_by_ms,
            call.arrived_ms
            + max(
                call.route.objective_ms,
                MODEL_WAIT_PART * (call.deadline_ms - call.arrived_ms),
            ),
        )

    def _excess_ms(self, call: admission.Call, first_event_ms: float) -> float:
        """Return by how much an answer would come too late, if above 0."""
        now_ms = self._state.clock.now_ms()
        return max(
            refusals.excess_ms(first_event_ms, call.first_by_ms - now_ms),
            refusals.excess_ms(
                first_event_ms + refusals.answer_ms(call.head.expected_tokens),
                call.deadline_ms - now_ms,
            ),
        )

    def _untried(
        self, call: admission.Call, name: str
    ) -> list[target_book.TargetRecord]:
        holders = self._state.book.holders(call.service.id, name)
        return [r for r in holders if r.target.id not in call.tried]

    def _model_wait_ms(self, call: admission.Call, name: str) -> float:
        """Predict the wait for a model that no engine holds."""
        engine, book = call.service.engine, self._state.book
        assert engine is not None
        spec = engine.model_by_name[name]
        return loading_waits.wait_ms(
            tiering.ModelSize(
                spec.memory_mb, spec.host_ms, spec.disk_ms, spec.store_ms
            ),
            loading_waits.first_due_ms(
                book.loads_due(call.service.id, name),
                self._state.clock.now_ms(),
            ),
            book.is_on_disk(call.service.id, name),
        )

    def _not_loaded(
        self, call: admission.Call, name: str, expected_ms: float
    ) -> outcomes.Refused:
        message = f"model {name} is on no target, {expected_ms:.0f} ms to wait"
        if call.may_have_run:
            return _target_failed(
                call, f"{call.last_failure}; {message}", outcomes.Step.QUEUE
            )
        self._state.demand.promise(name, int(expected_ms))
        self._note_waiting()
        return admission.refused(
            outcomes.Code.MODEL_LOADING,
            message,
            outcomes.Step.QUEUE,
            retry_after_ms=int(expected_ms),
        )

    def _choose(
        self,
        call: admission.Call,
        records: list[target_book.TargetRecord],
        prompt_tokens: int | None,
    ) -> tuple[target_book.TargetRecord, dispatching.Choice]:
        state = self._state
        candidates = state.book.candidates(records, call.head, call.tried)
        choice = dispatching.choose(
            candidates, prompt_tokens, call.route.objective_ms
        )
        if choice is None:
            if call.may_have_run:
                raise _target_failed(
                    call, call.last_failure, outcomes.Step.FIRST_BYTE
                )
            raise admission.refused(
                outcomes.Code.NO_TARGET,
                f"{len(records)} targets, none untried",
                outcomes.Step.ROUTE,
                retry_after_ms=target_book.SUSPECT_MS,
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
        return state.book.by_id[choice.id], choice

    async def _await_adapter(
        self, call: admission.Call, record: target_book.TargetRecord
    ) -> None:
        """Pause before another try; raises Refused when time is up."""
        head = call.head
        now_ms = self._state.clock.now_ms()
        if self._wait_until_ms(call) > now_ms and not self._state.is_closing:
            await self._state.book.wait_for_change(ADAPTER_RETRY_MS)
            return
        if call.may_have_run:
            raise _target_failed(call, call.last_failure, outcomes.Step.QUEUE)
        raise admission.refused(
            outcomes.Code.MODEL_LOADING,
            f"adapter {head.adapter} of {head.model} could not be loaded",
            outcomes.Step.QUEUE,
            peer=record.target.id,
            retry_after_ms=target_book.SUSPECT_MS,
        )

    async def _attempt(
        self,
        call: admission.Call,
        record: target_book.TargetRecord,
        choice: dispatching.Choice,
    ) -> web.StreamResponse:
        state, head = self._state, call.head
        kept = record.kept.kept_tokens(head.residence, head.parts)
        fresh_tokens = max(0, (head.prompt_tokens or 0) - kept)
        attempt = attempts.Attempt(
            record,
            state.clock,
            fresh_tokens,
            call.fingerprint,
            head.residence,
        )
        sent_ms = state.clock.now_ms()
        call.sent += 1
        call.last_target = record.target.id
        with attempt:
            record.kept.note(head.residence, head.parts)
            try:
                attempt.response = await self._client.send(
                    record, self._outgoing(call, record)
                )
                attempt.note_heard()
                record.note_reached(state.clock.now_ms())
                answer = await self._pass_on(call, attempt)
            except asyncio.CancelledError:
                if not attempt.caught_cancel():
                    raise
                raise attempts.AttemptFailed(
                    attempts.Ending.BROKEN, "the target is silent"
                ) from None
            except attempts.AttemptFailed as failure:
                if failure.ending is attempts.Ending.BROKEN:
                    self._note_broken(attempt)
                raise
            attempt.response.release()
            attempt.response = None
        record.note_outcome(has_failed=answer.status >= 500)
        state.suspicions.clear(call.fingerprint)
        state.metrics.attempts.labels(call.service.id, "answered").inc()
        now_ms = state.clock.now_ms()
        LOG.info(
            "forward: answered",
            id=head.attempt,
            route=call.route.id,
            model=head.model,
            team=call.team.id if call.team else "",
            charged=round(call.charged),
            target=record.target.id,
            status=answer.status,
            sent=call.sent,
            predicted_ms=round(choice.first_event_ms),
            waited_ms=sent_ms - call.arrived_ms,
            first_ms=(call.first_ms or now_ms) - call.arrived_ms,
            took_ms=now_ms - call.arrived_ms,
        )
        return answer

    def _outgoing(
        self, call: admission.Call, record: target_book.TargetRecord
    ) -> attempts.Outgoing:
        request = call.request
        left_ms = call.deadline_ms - self._state.clock.now_ms()
        grant = interfaces.Grant(
            target=record.target.id,
            team=call.team.id if call.team else None,
            deadline_ms=int(left_ms),
            urgency=call.urgency if call.service.engine else -1,
            last_event=call.cutter.last_event,
        )
        return attempts.Outgoing(
            method=request.method,
            raw_path=request.raw_path,
            headers=self._state.codec.encode_head(
                request.headers.items(), grant
            ),
            body=call.body,
            attempt=call.head.attempt,
            needs_fresh_connection=not call.route.is_repeatable,
        )

    async def _pass_on(
        self, call: admission.Call, attempt: attempts.Attempt
    ) -> web.StreamResponse:
        response = attempt.response
        assert response is not None
        try:
            if call.route.kind is model.CallKind.STREAM and response.ok:
                return await self._pass_stream(call, attempt, response)
            body = await self._client.read_whole(response)
        except attempts.BROKEN as error:
            raise attempts.AttemptFailed(
                attempts.Ending.BROKEN, repr(error)
            ) from error
        can_repeat = (
            call.route.is_repeatable and call.sent < call.route.max_attempts
        )
        if response.status >= 500 and (can_repeat or call.has_begun):
            raise attempts.AttemptFailed(
                attempts.Ending.BROKEN, f"status {response.status}"
            )
        if call.has_begun:
            raise attempts.AttemptFailed(
                attempts.Ending.BROKEN,
                f"status {response.status} to a resumed stream",
            )
        self._note_first_byte(call)
        return self._whole_answer(call, response, body)

    def _whole_answer(
        self,
        call: admission.Call,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> web.StreamResponse:
        answer = web.Response(
            status=response.status, reason=response.reason, body=body
        )
        self._copy_headers(answer, response)
        self._close_if_stopping(answer)
        self._count(call.route.kind.value, response.status, "answered")
        return answer

    async def _pass_stream(
        self,
        call: admission.Call,
        attempt: attempts.Attempt,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        ending = attempts.watch_ending(response)
        async for data in response.content.iter_any():
            attempt.note_heard()
            whole = call.cutter.feed(data)
            if whole:
                attempt.note_first_event()
                answer = await self._begin(call, response)
                await self._write(answer, whole)
        await attempts.check_ending(ending)
        answer = await self._begin(call, response)
        if call.cutter.rest:
            await self._write(answer, call.cutter.rest)
        await self._finish(answer)
        self._count(call.route.kind.value, response.status, "answered")
        return answer

    async def _begin(
        self, call: admission.Call, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        if call.answer is None:
            answer = web.StreamResponse(
                status=response.status, reason=response.reason
            )
            self._copy_headers(answer, response)
            answer.enable_chunked_encoding()
            self._close_if_stopping(answer)
            self._note_first_byte(call)
            call.answer = answer
            await _to_caller(answer.prepare(call.request))
        return call.answer

    async def _write(self, answer: web.StreamResponse, data: bytes) -> None:
        await _to_caller(answer.write(data))

    async def _finish(self, answer: web.StreamResponse) -> None:
        await _to_caller(answer.write_eof())

    def _copy_headers(
        self, answer: web.StreamResponse, response: aiohttp.ClientResponse
    ) -> None:
        pairs = self._state.codec.answer_headers(response.headers.items())
        answer.headers.popall("Content-Type", None)
        for name, value in pairs:
            answer.headers.add(name, value)

    def _break_off(
        self, call: admission.Call, reason: str
    ) -> web.StreamResponse:
        """Close the caller's connection, so that nothing looks whole."""
        assert call.answer is not None
        LOG.warning(
            "forward: broken off",
            id=call.head.attempt,
            route=call.route.id,
            target=call.last_target,
            reason=reason,
            sent=call.sent,
            last_event=call.cutter.last_event,
            last_failure=call.last_failure,
            took_ms=self._state.clock.now_ms() - call.arrived_ms,
            **self._state.known_as_of(),
        )
        self._count(call.route.kind.value, call.answer.status, "broken_off")
        if call.request.transport is not None:
            call.request.transport.close()
        return call.answer

    def _refuse(
        self,
        request: web.BaseRequest,
        call: admission.Call | None,
        refusal: outcomes.Refusal,
        arrived_ms: int,
    ) -> web.StreamResponse:
        attempt = _attempt_of(self._state.codec, request)
        LOG.info(
            "forward: refused",
            id=attempt,
            route=call.route.id if call else "",
            model=call.head.model if call else "",
            code=refusal.code.value,
            status=refusal.status,
            step=refusal.step.value,
            target=refusal.peer,
            not_run=refusal.not_run,
            reason=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            sent=call.sent if call else 0,
            held_ms=self._state.clock.now_ms() - arrived_ms,
            **self._state.known_as_of(),
        )
        kind = call.route.kind.value if call else "none"
        self._count(kind, refusal.status, refusal.code.value)
        answer = web.Response(
            status=refusal.status,
            text=f"{refusal.code.value}: {refusal.message}\n",
        )
        for name, value in self._state.codec.refusal_headers(
            attempt, refusal.retry_after_ms
        ):
            answer.headers[name] = value
        self._close_if_stopping(answer)
        return answer

    def _close_if_stopping(self, answer: web.StreamResponse) -> None:
        if self._state.is_stopping:
            answer.force_close()

    def _note_first_byte(self, call: admission.Call) -> None:
        now_ms = self._state.clock.now_ms()
        call.first_ms = now_ms
        self._state.metrics.first_byte.labels(call.route.kind.value).observe(
            (now_ms - call.arrived_ms) / MS_PER_S
        )

    def _count(self, kind: str, status: int, code: str) -> None:
        self._state.metrics.answers.labels(kind, str(status), code).inc()


async def _to_caller(work: typing.Awaitable[typing.Any]) -> None:
    """Tell a caller's broken connection from a target's."""
    try:
        await work
    except ConnectionError as error:
        raise asyncio.CancelledError("the caller has gone") from error


def _attempt_of(
    codec: interfaces.MessageCodec, request: web.BaseRequest
) -> str:
    try:
        return codec.decode_head(request.headers).attempt
    except interfaces.MalformedMessage:
        return ""


def _target_failed(
    call: admission.Call, reason: str, step: outcomes.Step
) -> outcomes.Refused:
    """Return the refusal of a request that may have run."""
    return outcomes.Refused(
        outcomes.Refusal(
            outcomes.Code.TARGET_FAILED,
            reason,
            step,
            not_run=False,
            peer=call.last_target,
        )
    )
