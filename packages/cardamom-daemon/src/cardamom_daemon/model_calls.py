"""Model calls: admission, retries on other targets, and the answer."""

import asyncio
import dataclasses
import typing

import aiohttp
from aiohttp import web
from opentelemetry import trace
import orjson
import structlog

from cardamom_daemon import callers
from cardamom_daemon import demand
from cardamom_daemon import dispatcher
from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import model_context
from cardamom_daemon import model_requests
from cardamom_daemon import model_streams
from cardamom_daemon import running
from cardamom_daemon import share_broker
from cardamom_daemon import suspect_permits
from cardamom_daemon import suspects
from cardamom_daemon import targets as target_module
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_kernel import suspicion
from cardamom_kernel import tasks
from cardamom_platform import answer_bodies
from cardamom_platform import pools
from cardamom_policy import retries

LOG = structlog.get_logger("cardamom.models")

CANCEL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 4
NOT_RUN_RETRY_DELAY_MS = 100


class ModelCalls:
    """Runs model calls on engines."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        broker: share_broker.ShareBroker,
        dispatch: dispatcher.Dispatcher,
        target_registry: target_module.TargetRegistry,
        meter: demand.DemandMeter,
        gossip: gossips.Gossip,
        budget: retries.RetryBudget,
        group: tasks.TaskGroup,
        permits: suspect_permits.SuspectPermits,
    ) -> None:
        self._fleet = fleet
        self._broker = broker
        self._dispatcher = dispatch
        self._target_registry = target_registry
        self._meter = meter
        self._budget = budget
        self._group = group
        self._permits = permits
        self._streams = model_streams.ModelStreams(fleet, target_registry)
        self._suspects = suspects.Suspects(
            fleet, gossip, target_registry, group
        )

    async def handle(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        caller: callers.Caller,
        raw: bytes,
        running_request: running.RunningRequest,
    ) -> web.StreamResponse:
        """Answer a model call.

        Raises outcomes.RequestRefused or model_context.CallerDisconnected.
        """
        limits = self._fleet.catalog.configuration.limits
        is_chat = request.path.endswith("/chat/completions")
        parsed = model_requests.parse(raw, is_chat, limits)
        name = self._fleet.catalog.find_model(parsed.model)
        if name is None:
            raise outcomes.RequestRefused(_unknown_model(parsed.model))
        fingerprint = suspicion.fingerprint_of(
            caller.team,
            str(name),
            parsed.payload,
        )
        self._suspects.refuse_if_crashing(fingerprint)
        reservation = await self._broker.charge_or_refuse(
            caller.team,
            parsed.cost.total,
        )
        self._meter.record_request(name, parsed.cost.answer_tokens)
        now_ms = self._fleet.clock.now_ms()
        context = model_context.Context(
            request_id,
            caller,
            request,
            parsed,
            name,
            fingerprint,
            reservation,
            now_ms,
            now_ms + limits.request_timeout_ms,
            running_request,
        )
        try:
            return await self._run(context)
        finally:
            self._fleet.shares.close_reservation(reservation)

    async def _run(self, context: model_context.Context) -> web.StreamResponse:
        """Try targets until one answers or the attempts are used up.

        Raises outcomes.RequestRefused; its ``not_run`` is true only if no
        attempt may have run.
        """
        try:
            return await self._try_targets(context)
        except outcomes.RequestRefused as refused:
            if not context.may_have_run:
                raise
            raise outcomes.RequestRefused(
                dataclasses.replace(refused.refusal, not_run=False)
            ) from refused

    async def _try_targets(
        self, context: model_context.Context
    ) -> web.StreamResponse:
        """Try targets until one answers.

        An attempt that certainly did not run is not counted.
        """
        self._budget.record_first_attempt()
        limits = self._fleet.catalog.configuration.limits
        retry_until_ms = context.arrived_ms + limits.queue_timeout_ms
        attempts = 0
        while True:
            self._suspects.refuse_if_crashing(context.fingerprint)
            try:
                response = await self._attempt(context)
            except model_context.AttemptFailed as error:
                last_failure = error.failure
            else:
                self._fleet.suspicions.clear(context.fingerprint)
                return response
            self._record_failed_attempt(context, last_failure)
            if last_failure.not_run:
                if self._fleet.clock.now_ms() >= retry_until_ms:
                    break
                await self._fleet.clock.sleep_ms(NOT_RUN_RETRY_DELAY_MS)
                continue
            attempts += 1
            if attempts >= MAX_ATTEMPTS or not self._budget.try_retry():
                break
        self._suspects.refuse_if_crashing(context.fingerprint)
        raise outcomes.RequestRefused(
            outcomes.Refusal(
                outcomes.Code.TARGET_FAILED,
                f"no target gave a complete answer: {last_failure.message}",
                last_failure.step,
                not_run=True,
                peer=last_failure.peer,
            )
        )

    def _record_failed_attempt(
        self, context: model_context.Context, failure: model_context.Failure
    ) -> None:
        if not failure.not_run:
            context.may_have_run = True
        self._fleet.metrics.count("models.attempt_failed")
        LOG.info(
            "models: attempt failed",
            request=context.id,
            step=failure.step.value,
            peer=failure.peer,
            error=failure.message,
        )

    async def _attempt(
        self, context: model_context.Context
    ) -> web.StreamResponse:
        call = self._make_call(context)
        target = await self._dispatcher.acquire(call)
        incarnation = target.incarnation
        try:
            if call.is_suspect:
                await self._prepare_suspect(context, target, incarnation)
            callers.recheck(self._fleet, context.caller)
            context.running_request.was_sent = True
            self._target_registry.mark_sent(target, context.id)
            with self._fleet.tracer.start_as_current_span(
                "target",
                kind=trace.SpanKind.CLIENT,
                attributes={"target": target.id, "request": context.id},
            ):
                return await self._send(context, target)
        except model_context.AttemptFailed as error:
            context.tried_targets.add(target.id)
            if not error.failure.not_run:
                await self._suspects.score_if_crashed(
                    context.fingerprint, target, incarnation
                )
            raise
        except (asyncio.CancelledError, model_context.CallerDisconnected):
            self._spawn(self._cancel(target, context.id))
            raise
        finally:
            self._dispatcher.release(target, call)
            if call.is_suspect:
                self._spawn(self._permits.release(target.id, context.id))

    async def _prepare_suspect(
        self,
        context: model_context.Context,
        target: target_module.Target,
        incarnation: str,
    ) -> None:
        """Wait until the target runs no other suspect, then check it.

        The previous suspect may have crashed the target.  A request sent to
        a target that has crashed would be scored although it never ran.
        """
        await self._permits.obtain(target.id, context.id)
        self._suspects.refuse_if_crashing(context.fingerprint)
        if await self._target_registry.has_crashed(target, incarnation):
            self._target_registry.mark_down(target)
            raise model_context.attempt_failed(
                outcomes.Step.CONNECT,
                target,
                "the target crashed before the request was sent",
                not_run=True,
            )

    def _make_call(self, context: model_context.Context) -> dispatcher.Call:
        limits = self._fleet.catalog.configuration.limits
        objectives = self._fleet.catalog.configuration.objectives
        now_ms = self._fleet.clock.now_ms()
        ready_engines = {
            target.id
            for target in self._target_registry.engines()
            if target.has_ready(context.model_name)
        }
        excluded = set(context.tried_targets)
        if ready_engines and ready_engines <= excluded:
            excluded = set()
        is_suspect = self._fleet.suspicions.is_suspect(context.fingerprint)
        queue_ms = (
            limits.request_timeout_ms
            if is_suspect
            else limits.queue_timeout_ms
        )
        return dispatcher.Call(
            context.id,
            context.caller.team,
            context.model_name,
            context.parsed.cost.total,
            context.fingerprint,
            context.parsed.prefix,
            is_suspect,
            context.arrived_ms + objectives.first_token_ms,
            min(context.deadline_ms, now_ms + queue_ms),
            excluded,
        )

    async def _send(
        self,
        context: model_context.Context,
        target: target_module.Target,
    ) -> web.StreamResponse:
        started_ms = self._fleet.clock.now_ms()
        headers = model_context.headers(context, "application/json")
        try:
            response = await target.pool.session.post(
                target.spec.url + context.request.path,
                data=context.parsed.payload,
                headers=headers,
                allow_redirects=False,
                timeout=model_context.timeout(self._fleet, context),
            )
        except pools.CONNECT_ERRORS as error:
            self._target_registry.count_failure(target)
            raise model_context.attempt_failed(
                outcomes.Step.CONNECT, target, error, not_run=True
            ) from error
        except pools.NETWORK_ERRORS as error:
            await self._target_registry.handle_connection_failure(
                target, error
            )
            raise model_context.attempt_failed(
                outcomes.Step.FIRST_BYTE, target, error, not_run=False
            ) from error
        elapsed_ms = self._fleet.clock.now_ms() - started_ms
        target.latency.observe(elapsed_ms)
        self._fleet.metrics.timing("models.first_byte_ms", elapsed_ms)
        async with response:
            await self._check_response(context, target, response)
            if context.parsed.is_stream:
                return await self._streams.forward(context, target, response)
            return await self._read_answer(context, target, response)

    async def _check_response(
        self,
        context: model_context.Context,
        target: target_module.Target,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Check the status and the request id of a response.

        Raises AttemptFailed, or outcomes.RequestRefused for status 400.
        """
        answered_id = response.headers.get(
            callers.REQUEST_ID_HEADER, context.id
        )
        if answered_id != context.id:
            target.pool.replace()
            self._fleet.metrics.count("models.crossed_answer")
            raise model_context.attempt_failed(
                outcomes.Step.FIRST_BYTE,
                target,
                "the answer belongs to another request",
                not_run=False,
            )
        if response.status == 200:
            return
        body = await _read_or_empty(response)
        if response.status == 400:
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.BAD_REQUEST,
                    f"the target refused the request: {body[:300]!r}",
                    outcomes.Step.SEND,
                    not_run=_says_not_run(body),
                    peer=target.id,
                )
            )
        raise model_context.attempt_failed(
            outcomes.Step.FIRST_BYTE,
            target,
            f"status {response.status}",
            not_run=_says_not_run(body),
        )

    async def _read_answer(
        self,
        context: model_context.Context,
        target: target_module.Target,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        try:
            body = await answer_bodies.read(response)
            answer = orjson.loads(body)
        except (*pools.NETWORK_ERRORS, ValueError) as error:
            await self._target_registry.handle_connection_failure(
                target, error
            )
            raise model_context.attempt_failed(
                outcomes.Step.STREAM, target, error, not_run=False
            ) from error
        if not isinstance(answer, dict) or "choices" not in answer:
            raise model_context.attempt_failed(
                outcomes.Step.STREAM,
                target,
                "the answer is incomplete",
                not_run=False,
            )
        self._fleet.shares.spend(
            context.reservation, _tokens_used(answer, context)
        )
        return web.Response(
            body=body,
            headers=model_context.headers(context, "application/json"),
        )

    async def _cancel(
        self,
        target: target_module.Target,
        request_id: ids.RequestId,
    ) -> None:
        try:
            async with target.pool.session.post(
                target.spec.url + "/engine/v1/cancel",
                json={"request_id": request_id},
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            ):
                pass
        except pools.NETWORK_ERRORS as error:
            LOG.debug(
                "models: cancel request failed",
                target=target.id,
                error=repr(error),
            )

    def _spawn(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        self._group.run_in_background(work)


def _says_not_run(body: bytes) -> bool:
    try:
        return bool(orjson.loads(body)["error"]["not_run"])
    except (ValueError, KeyError, TypeError):
        return False


async def _read_or_empty(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await answer_bodies.read(response)
    except pools.NETWORK_ERRORS:
        return b""


def _tokens_used(
    answer: dict[str, typing.Any], context: model_context.Context
) -> float:
    usage = answer.get("usage")
    if isinstance(usage, dict) and isinstance(usage.get("total_tokens"), int):
        return float(usage["total_tokens"])
    return float(context.parsed.cost.total)


def _unknown_model(model: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.NOT_FOUND,
        f"model: {model!r} is not listed; see /v1/models",
        outcomes.Step.ROUTE,
        not_run=True,
    )
