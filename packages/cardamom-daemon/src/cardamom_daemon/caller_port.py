"""The caller port: authentication, routing and answers for callers."""

import asyncio
import math
import typing

from aiohttp import web
from opentelemetry import trace
import structlog

from cardamom_config import schema
from cardamom_daemon import at_most_once_calls
from cardamom_daemon import callers
from cardamom_daemon import fleet as fleets
from cardamom_daemon import model_calls
from cardamom_daemon import model_context
from cardamom_daemon import plain_calls
from cardamom_daemon import running as running_module
from cardamom_daemon import share_broker
from cardamom_kernel import ids
from cardamom_kernel import invariants
from cardamom_kernel import outcomes
from cardamom_kernel import shares
from cardamom_kernel import telemetry

LOG = structlog.get_logger("cardamom.caller")

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")


class CallerPort:
    """Handles the requests that callers send to this instance."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        broker: share_broker.ShareBroker,
        models: model_calls.ModelCalls,
        plain: plain_calls.PlainCalls,
        at_most_once: at_most_once_calls.AtMostOnceCalls,
        running: running_module.RunningRequests,
    ) -> None:
        self._fleet = fleet
        self._broker = broker
        self._models = models
        self._plain = plain
        self._at_most_once_calls = at_most_once
        self._running = running
        self.in_flight = 0
        self.count_connections: typing.Callable[[], int] = lambda: 0

    def application(self) -> web.Application:
        """Return the web application of the port."""
        app = web.Application(client_max_size=1 << 40)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        request_id = ids.RequestId(ids.random_id("req"))
        started_ms = self._fleet.clock.now_ms()
        self.in_flight += 1
        try:
            with self._fleet.tracer.start_as_current_span(
                "caller",
                context=telemetry.PROPAGATOR.extract(dict(request.headers)),
                kind=trace.SpanKind.SERVER,
                attributes={"request": request_id, "method": request.method},
            ):
                response = await self._answer(request, request_id)
        finally:
            self.in_flight -= 1
        elapsed_ms = self._fleet.clock.now_ms() - started_ms
        self._fleet.metrics.timing("caller.duration_ms", elapsed_ms)
        self._fleet.metrics.count(f"caller.status.{response.status}")
        return response

    async def _answer(
        self,
        request: web.Request,
        request_id: ids.RequestId,
    ) -> web.StreamResponse:
        try:
            response = await self._route(request, request_id)
        except outcomes.RequestRefused as refused:
            response = self._refuse(refused.refusal, request_id)
        except model_context.CallerDisconnected:
            response = web.Response(status=499)
            response.force_close()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            LOG.exception("caller: unexpected error", request=request_id)
            invariants.check(
                False, "caller.no_unexpected_error", error=repr(error)
            )
            response = self._refuse(_internal_error(), request_id)
        if self._fleet.is_draining and not response.prepared:
            response.force_close()
        return response

    def _refuse(
        self,
        refusal: outcomes.Refusal,
        request_id: ids.RequestId,
    ) -> web.Response:
        self._fleet.metrics.count(f"caller.refused.{refusal.code.value}")
        LOG.info(
            "caller: refused",
            request=request_id,
            code=refusal.code.value,
            step=refusal.step.value,
            peer=refusal.peer,
            not_run=refusal.not_run,
        )
        headers = {callers.REQUEST_ID_HEADER: str(request_id)}
        if refusal.retry_after_ms is not None:
            retry_after_s = max(1, math.ceil(refusal.retry_after_ms / 1000))
            headers["Retry-After"] = str(retry_after_s)
        telemetry.PROPAGATOR.inject(headers)
        return web.json_response(
            callers.error_body(refusal, request_id),
            status=refusal.status,
            headers=headers,
        )

    async def _route(
        self,
        request: web.Request,
        request_id: ids.RequestId,
    ) -> web.StreamResponse:
        if self.count_connections() > self._fleet.settings.max_connections:
            raise outcomes.RequestRefused(_too_many_connections())
        key = callers.read_key(request)
        callers.refuse_text_with_key(self._fleet, request.path, "path")
        if request.path in MODEL_PATHS and request.method == "POST":
            return await self._model_call(request, request_id, key)
        if request.path == "/v1/models" and request.method == "GET":
            callers.authenticate(self._fleet, key)
            callers.require_fresh(self._fleet)
            return self._list_models()
        return await self._plain_call(request, request_id, key)

    def _list_models(self) -> web.Response:
        data = [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "cardamomway",
            }
            for name in self._fleet.catalog.model_names()
        ]
        return web.json_response({"object": "list", "data": data})

    async def _model_call(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        key: str | None,
    ) -> web.StreamResponse:
        caller = callers.authenticate(self._fleet, key)
        callers.require_fresh(self._fleet)
        body = await self._read_body(request)
        callers.refuse_body_with_key(self._fleet, body)
        callers.recheck(self._fleet, caller)
        running_request = self._running.add(request_id, caller.key_id)
        try:
            return await self._models.handle(
                request,
                request_id,
                caller,
                body,
                running_request,
            )
        except asyncio.CancelledError:
            if running_request.cancel_reason is None:
                raise
            running_request.task.uncancel()
            return await self._answer_cancelled(running_request, request_id)
        finally:
            self._running.remove(running_request)

    async def _answer_cancelled(
        self,
        running_request: running_module.RunningRequest,
        request_id: ids.RequestId,
    ) -> web.StreamResponse:
        """Answer a request that this instance has cancelled.

        A stream that has begun ends with an error event.
        """
        refusal = running_request.cancel_reason
        assert refusal is not None
        caller_stream = running_request.caller_stream
        if caller_stream is None or not caller_stream.prepared:
            if not running_request.was_sent:
                refusal = running_module.as_not_run(refusal)
            return self._refuse(refusal, request_id)
        self._fleet.metrics.count(f"caller.ended.{refusal.code.value}")
        timeout_s = self._fleet.settings.write_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await caller_stream.write(
                    model_context.error_event(refusal, request_id)
                )
                await caller_stream.write_eof()
        except (TimeoutError, ConnectionError):
            LOG.info("caller: disconnected", request=request_id)
        return caller_stream

    async def _plain_call(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        key: str | None,
    ) -> web.StreamResponse:
        name, route = self._find_route(request)
        caller = None
        if route.access is schema.Access.KEYED:
            caller = callers.authenticate(self._fleet, key)
        callers.require_fresh(self._fleet)
        body = await self._read_body(request)
        callers.refuse_body_with_key(self._fleet, body)
        call = plain_calls.PlainCall(
            id=request_id,
            route_name=name,
            route=route,
            method=request.method,
            path=request.rel_url.raw_path,
            query=tuple(callers.forwarded_query(self._fleet, request)),
            headers=callers.forwarded_headers(self._fleet, request),
            body=body,
            deadline_ms=self._fleet.clock.now_ms() + route.timeout_ms,
        )
        at_most_once = None
        if not route.idempotent:
            assert caller is not None
            idempotency_key = request.headers.get("Idempotency-Key", "")
            call.headers["Idempotency-Key"] = idempotency_key
            at_most_once = self._at_most_once_calls.make_call(
                call, caller, idempotency_key
            )
        reservation = await self._charge(caller, route.cost_tokens)
        try:
            if at_most_once is not None:
                answer = await self._at_most_once_calls.run(at_most_once)
            else:
                answer = await self._plain.run(call, caller)
            if reservation is not None:
                self._fleet.shares.spend(reservation, route.cost_tokens)
            return answer.to_response(request_id)
        finally:
            if reservation is not None:
                self._fleet.shares.close_reservation(reservation)

    def _find_route(self, request: web.Request) -> tuple[str, schema.Route]:
        match = self._fleet.catalog.find_route(request.method, request.path)
        if match is not None:
            return match
        callers.require_fresh(self._fleet)
        methods = self._fleet.catalog.methods_of(request.path)
        if methods:
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.METHOD_NOT_ALLOWED,
                    f"method: this path takes {', '.join(methods)}",
                    outcomes.Step.ROUTE,
                    not_run=True,
                )
            )
        raise outcomes.RequestRefused(
            outcomes.Refusal(
                outcomes.Code.NOT_FOUND,
                f"path: no route leads to {request.path!r}",
                outcomes.Step.ROUTE,
                not_run=True,
            )
        )

    async def _charge(
        self,
        caller: callers.Caller | None,
        tokens: float,
    ) -> shares.Reservation | None:
        if caller is None or tokens <= 0:
            return None
        return await self._broker.charge_or_refuse(caller.team, tokens)

    async def _read_body(self, request: web.Request) -> bytes:
        """Read a body within the limits on its size and time.

        Raises outcomes.RequestRefused.
        """
        limit_bytes = self._fleet.catalog.configuration.limits.max_body_bytes
        if (request.content_length or 0) > limit_bytes:
            raise outcomes.RequestRefused(_too_large(limit_bytes))
        timeout_s = self._fleet.settings.body_timeout_ms / 1000
        chunks: list[bytes] = []
        size_bytes = 0
        try:
            async with asyncio.timeout(timeout_s):
                async for chunk in request.content.iter_any():
                    size_bytes += len(chunk)
                    if size_bytes > limit_bytes:
                        raise outcomes.RequestRefused(_too_large(limit_bytes))
                    chunks.append(chunk)
        except TimeoutError as error:
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.BAD_REQUEST,
                    "body: did not arrive in time",
                    outcomes.Step.RECEIVE,
                    not_run=True,
                )
            ) from error
        return b"".join(chunks)


def _too_large(limit_bytes: int) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.TOO_LARGE,
        f"body: is larger than {limit_bytes} bytes",
        outcomes.Step.RECEIVE,
        not_run=True,
    )


def _too_many_connections() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.OVERLOADED,
        "too many open connections; try again later",
        outcomes.Step.RECEIVE,
        not_run=True,
        retry_after_ms=1_000,
    )


def _internal_error() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.INTERNAL,
        "internal error; see the log of the instance for this request id",
        outcomes.Step.RECEIVE,
        not_run=False,
    )
