"""Streamed answers: forwarded to callers, and resumed after a failure."""

import asyncio

import aiohttp
from aiohttp import web

from cardamom_daemon import callers
from cardamom_daemon import fleet as fleets
from cardamom_daemon import model_context
from cardamom_daemon import sse
from cardamom_daemon import targets as target_module
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_platform import answer_bodies
from cardamom_platform import pools

MAX_RESUMES = 3


class ModelStreams:
    """Forwards streams of engines to callers."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        target_registry: target_module.TargetRegistry,
    ) -> None:
        self._fleet = fleet
        self._target_registry = target_registry

    async def forward(
        self,
        context: model_context.Context,
        target: target_module.Target,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        """Forward a stream event by event; resume it if the connection fails.

        Raises AttemptFailed if it fails before the caller received a byte,
        and CallerDisconnected.
        """
        caller_stream = web.StreamResponse(
            headers=model_context.headers(context, "text/event-stream"),
        )
        splitter = sse.EventSplitter()
        problem = await self._relay(context, caller_stream, splitter, response)
        for _ in range(MAX_RESUMES):
            if problem is None:
                break
            if not caller_stream.prepared:
                await self._target_registry.handle_connection_failure(
                    target, problem
                )
                raise model_context.attempt_failed(
                    outcomes.Step.FIRST_BYTE, target, problem, not_run=False
                )
            problem = await self._resume(
                context, target, caller_stream, splitter, problem
            )
        if problem is not None:
            await self._end_incomplete(context, target, caller_stream, problem)
        await caller_stream.write_eof()
        return caller_stream

    async def _relay(
        self,
        context: model_context.Context,
        caller_stream: web.StreamResponse,
        splitter: sse.EventSplitter,
        response: aiohttp.ClientResponse,
    ) -> Exception | None:
        """Forward events up to the end event.

        Returns the error if the stream failed before it, else None.
        """
        try:
            while True:
                events_before = splitter.events
                complete_events = await _next_events(splitter, response)
                if not complete_events:
                    break
                self._fleet.shares.spend(
                    context.reservation,
                    splitter.events - events_before,
                )
                await self._write(context, caller_stream, complete_events)
        except (*pools.NETWORK_ERRORS, sse.EventTooLarge) as error:
            return error
        if splitter.is_ended:
            return None
        return ConnectionError("the stream ended without its end event")

    async def _write(
        self,
        context: model_context.Context,
        caller_stream: web.StreamResponse,
        data: bytes,
    ) -> None:
        """Write to the caller.

        Raises CallerDisconnected if it does not read in time or has
        disconnected.
        """
        timeout_s = self._fleet.settings.write_timeout_ms / 1000
        try:
            if not caller_stream.prepared:
                context.running_request.caller_stream = caller_stream
                await caller_stream.prepare(context.request)
                prompt_tokens = context.parsed.cost.prompt_tokens
                self._fleet.shares.spend(context.reservation, prompt_tokens)
            async with asyncio.timeout(timeout_s):
                await caller_stream.write(data)
        except (TimeoutError, ConnectionError) as error:
            raise model_context.CallerDisconnected from error

    async def _resume(
        self,
        context: model_context.Context,
        target: target_module.Target,
        caller_stream: web.StreamResponse,
        splitter: sse.EventSplitter,
        problem: Exception,
    ) -> Exception | None:
        """Continue a failed stream on a new connection to its target.

        Returns the error if the stream failed again, else None.
        """
        self._fleet.metrics.count("models.resume")
        await self._target_registry.handle_connection_failure(target, problem)
        splitter.discard_partial()
        try:
            response = await target.pool.session.get(
                target.spec.url + "/engine/v1/resume",
                params={
                    "request_id": context.id,
                    "from": str(splitter.events),
                },
                headers=model_context.headers(context, "application/json"),
                timeout=model_context.timeout(self._fleet, context),
            )
        except pools.NETWORK_ERRORS as error:
            return error
        async with response:
            if not _is_rest(response, context.id):
                return ConnectionError("the target cannot resume the stream")
            return await self._relay(
                context, caller_stream, splitter, response
            )

    async def _end_incomplete(
        self,
        context: model_context.Context,
        target: target_module.Target,
        caller_stream: web.StreamResponse,
        problem: Exception,
    ) -> None:
        """Send the caller an error event, since its stream is incomplete."""
        self._fleet.metrics.count("models.cut_short")
        refusal = outcomes.Refusal(
            outcomes.Code.TARGET_FAILED,
            f"the answer is cut short: {pools.describe(problem)}",
            outcomes.Step.STREAM,
            not_run=False,
            peer=target.id,
        )
        await self._write(
            context,
            caller_stream,
            model_context.error_event(refusal, context.id),
        )


def _is_rest(
    response: aiohttp.ClientResponse, request_id: ids.RequestId
) -> bool:
    """Return whether an answer goes on with the stream of a request."""
    named = response.headers.get(callers.REQUEST_ID_HEADER, request_id)
    return (
        response.status == 200
        and answer_bodies.is_event_stream(response)
        and named == request_id
    )


async def _next_events(
    splitter: sse.EventSplitter, response: aiohttp.ClientResponse
) -> bytes:
    """Return the next complete events, empty at the end of the body.

    Raises TimeoutError if no event is complete in time, even if bytes arrive.
    """
    async with asyncio.timeout(model_context.STALL_TIMEOUT_S):
        while data := await response.content.readany():
            if complete_events := splitter.feed(data):
                return complete_events
    return b""
