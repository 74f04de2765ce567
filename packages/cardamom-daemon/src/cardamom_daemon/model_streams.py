"""Streams: passed on event by event, and resumed where they break."""

import asyncio

import aiohttp
from aiohttp import web

from cardamom_daemon import fleet as fleets
from cardamom_daemon import model_context
from cardamom_daemon import sse
from cardamom_daemon import targets as target_module
from cardamom_kernel import outcomes
from cardamom_platform import pools

MAX_RESUMES = 3


class ModelStreams:
    """Passes streams of engines on to callers."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        book: target_module.TargetBook,
    ) -> None:
        self._fleet = fleet
        self._book = book

    async def pass_on(
        self,
        context: model_context.Context,
        target: target_module.Target,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        """Pass a stream on event by event, and resume it where it breaks.

        Raises AttemptFailed if it breaks before the caller got a byte, and
        CallerGone.
        """
        out = web.StreamResponse(
            headers=model_context.headers(context, "text/event-stream"),
        )
        splitter = sse.EventSplitter()
        problem = await self._relay(context, out, splitter, response)
        for _ in range(MAX_RESUMES):
            if problem is None:
                break
            if not out.prepared:
                await self._book.suspect_silence(target, problem)
                raise model_context.failed(
                    outcomes.Step.FIRST_BYTE, target, problem, not_run=False
                )
            problem = await self._resume(
                context, target, out, splitter, problem
            )
        if problem is not None:
            await self._end_broken(context, target, out, problem)
        await out.write_eof()
        return out

    async def _relay(
        self,
        context: model_context.Context,
        out: web.StreamResponse,
        splitter: sse.EventSplitter,
        response: aiohttp.ClientResponse,
    ) -> Exception | None:
        """Copy events until the end mark; return what broke, if anything."""
        try:
            while True:
                async with asyncio.timeout(model_context.STALL_TIMEOUT_S):
                    data = await response.content.readany()
                if not data:
                    break
                before = splitter.events
                whole = splitter.feed(data)
                if not whole:
                    continue
                self._fleet.shares.spend(
                    context.loan,
                    splitter.events - before,
                )
                await self._write(context, out, whole)
        except (*pools.NETWORK_ERRORS, sse.EventTooLarge) as error:
            return error
        if splitter.is_ended:
            return None
        return ConnectionError("the stream ended without its end mark")

    async def _write(
        self,
        context: model_context.Context,
        out: web.StreamResponse,
        data: bytes,
    ) -> None:
        """Write to the caller; raises CallerGone if it does not read."""
        timeout_s = self._fleet.settings.write_timeout_ms / 1000
        try:
            if not out.prepared:
                context.running.out = out
                await out.prepare(context.request)
                prompt_tokens = context.parsed.cost.prompt_tokens
                self._fleet.shares.spend(context.loan, prompt_tokens)
            async with asyncio.timeout(timeout_s):
                await out.write(data)
        except (TimeoutError, ConnectionError) as error:
            raise model_context.CallerGone from error

    async def _resume(
        self,
        context: model_context.Context,
        target: target_module.Target,
        out: web.StreamResponse,
        splitter: sse.EventSplitter,
        problem: Exception,
    ) -> Exception | None:
        """Continue a broken stream on a new connection to its target."""
        self._fleet.metrics.count("models.resume")
        await self._book.suspect_silence(target, problem)
        splitter.restart()
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
            if response.status != 200:
                return ConnectionError("the target cannot resume the stream")
            return await self._relay(context, out, splitter, response)

    async def _end_broken(
        self,
        context: model_context.Context,
        target: target_module.Target,
        out: web.StreamResponse,
        problem: Exception,
    ) -> None:
        """Tell the caller that its stream is cut short."""
        self._fleet.metrics.count("models.cut_short")
        refusal = outcomes.Refusal(
            outcomes.Code.TARGET_FAILED,
            f"the answer is cut short: {problem}",
            outcomes.Step.STREAM,
            not_run=False,
            peer=target.id,
        )
        await self._write(
            context, out, model_context.error_event(refusal, context.id)
        )
