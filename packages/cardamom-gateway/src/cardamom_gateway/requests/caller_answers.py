"""Answers to callers: whole ones, streams, refusals, and broken-off ones."""

import asyncio
import typing

import aiohttp
from aiohttp import web
import structlog

from cardamom_kernel import outcomes

from cardamom_gateway import interfaces
from cardamom_gateway.requests import admission
from cardamom_gateway import state as state_module

LOG = structlog.get_logger("cardamom.gateway.forward")

MS_PER_S = 1000


class CallerAnswers:
    """Writes answers to callers, and logs and counts those that end a call."""

    def __init__(self, state: state_module.GatewayState) -> None:
        self._state = state

    def complete(
        self,
        call: admission.Call,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> web.StreamResponse:
        """Return a target's whole answer."""
        self._note_first_byte(call)
        answer = web.Response(
            status=response.status, reason=response.reason, body=body
        )
        self._copy_headers(answer, response)
        self._close_if_stopping(answer)
        self.count(call.route.kind.value, response.status, "answered")
        return answer

    async def start(
        self, call: admission.Call, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Return the stream to the caller, which begins with a target's head.

        A resumed stream goes on with the head of its first target.
        """
        if call.answer is None:
            answer = web.StreamResponse(
                status=response.status, reason=response.reason
            )
            self._copy_headers(answer, response)
            answer.enable_chunked_encoding()
            self._close_if_stopping(answer)
            self._note_first_byte(call)
            call.answer = answer
            await _write_to_caller(answer.prepare(call.request))
        return call.answer

    async def write(self, answer: web.StreamResponse, data: bytes) -> None:
        """Write complete events; raises CancelledError if the caller left."""
        await _write_to_caller(answer.write(data))

    async def finish(self, answer: web.StreamResponse) -> None:
        """End a whole stream."""
        await _write_to_caller(answer.write_eof())

    def _copy_headers(
        self, answer: web.StreamResponse, response: aiohttp.ClientResponse
    ) -> None:
        pairs = self._state.codec.answer_headers(response.headers.items())
        answer.headers.popall("Content-Type", None)
        for name, value in pairs:
            answer.headers.add(name, value)

    def abort(self, call: admission.Call, reason: str) -> web.StreamResponse:
        """Close the caller's connection, as the answer is incomplete.

        A regular end would make the caller take it for a complete one.
        """
        assert call.answer is not None
        LOG.warning(
            "forward: broken off",
            id=call.head.attempt,
            route=call.route.id,
            target=call.last_target,
            reason=reason,
            sent=call.sent_attempts,
            last_event=call.event_buffer.last_event,
            last_failure=call.last_failure,
            took_ms=self._state.clock.now_ms() - call.arrived_ms,
            **self._state.data_versions(),
        )
        self.count(call.route.kind.value, call.answer.status, "broken_off")
        if call.request.transport is not None:
            call.request.transport.close()
        return call.answer

    def note_caller_left(
        self,
        request: web.BaseRequest,
        call: admission.Call | None,
        arrived_ms: int,
    ) -> None:
        """Log a request whose caller has disconnected, or a forced stop."""
        LOG.info(
            "forward: caller left",
            id=_attempt_id(self._state.codec, request),
            route=call.route.id if call else "",
            model=call.head.model if call else "",
            waited_for=call.stage.value if call else "request",
            target=call.last_target if call else outcomes.NO_PEER,
            sent=call.sent_attempts if call else 0,
            held_ms=self._state.clock.now_ms() - arrived_ms,
            is_closing=self._state.is_closing,
        )
        self.count(call.route.kind.value if call else "none", 0, "caller_left")

    def refuse(
        self,
        request: web.BaseRequest,
        call: admission.Call | None,
        refusal: outcomes.Refusal,
        arrived_ms: int,
    ) -> web.StreamResponse:
        """Return the gateway's own answer to a request that it gives up."""
        attempt = _attempt_id(self._state.codec, request)
        LOG.info(
            "forward: refused",
            id=attempt,
            resumes=call.head.resumed_attempt if call else "",
            route=call.route.id if call else "",
            model=call.head.model if call else "",
            code=refusal.code.value,
            status=refusal.status,
            step=refusal.step.value,
            target=refusal.peer,
            not_run=refusal.not_run,
            reason=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            sent=call.sent_attempts if call else 0,
            held_ms=self._state.clock.now_ms() - arrived_ms,
            **self._state.data_versions(),
        )
        kind = call.route.kind.value if call else "none"
        self.count(kind, refusal.status, refusal.code.value)
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
        call.first_byte_ms = now_ms
        self._state.metrics.first_byte.labels(call.route.kind.value).observe(
            (now_ms - call.arrived_ms) / MS_PER_S
        )

    def count(self, kind: str, status: int, code: str) -> None:
        """Count an answer by the kind of its route, its status and its end."""
        self._state.metrics.answers.labels(kind, str(status), code).inc()


async def _write_to_caller(write: typing.Awaitable[typing.Any]) -> None:
    """Wait for a write to a caller.

    Raises CancelledError for a broken connection, so that it isn't taken for
    one to a target.
    """
    try:
        await write
    except ConnectionError as error:
        raise asyncio.CancelledError("the caller has disconnected") from error


def _attempt_id(
    codec: interfaces.MessageCodec, request: web.BaseRequest
) -> str:
    try:
        return codec.decode_head(request.headers).attempt
    except interfaces.MalformedMessage:
        return ""
