"""Model calls: from a checked request to the whole answer."""

import asyncio
import dataclasses
import typing

import aiohttp
from aiohttp import web
from opentelemetry import trace
import orjson
import structlog

from cardamom_daemon import callers
from cardamom_daemon import catalog
from cardamom_daemon import demand
from cardamom_daemon import dispatcher
from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_daemon import model_requests
from cardamom_daemon import running
from cardamom_daemon import share_broker
from cardamom_daemon import sse
from cardamom_daemon import suspect_permits
from cardamom_daemon import targets as target_module
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_kernel import shares
from cardamom_kernel import suspicion
from cardamom_kernel import tasks
from cardamom_kernel import telemetry
from cardamom_policy import retries

LOG = structlog.get_logger("cardamom.models")

STALL_TIMEOUT_S = 5.0
PACE_FACTOR = 4
CANCEL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 4
MAX_RESUMES = 3
REQUEST_ID_HEADER = "X-Request-Id"

FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@dataclasses.dataclass
class Context:
    """One model call on its way."""

    id: ids.RequestId
    caller: callers.Caller
    request: web.Request
    parsed: model_requests.ModelRequest
    name: catalog.ModelName
    fingerprint: str
    loan: shares.Loan
    arrived_ms: int
    deadline_ms: int
    running: running.Running
    may_have_run: bool = False
    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Failed:
    """An attempt that gave no answer; no byte reached the caller."""

    step: outcomes.Step
    peer: str
    message: str
    not_run: bool


class AttemptFailed(Exception):
    """Carries a failed attempt."""

    def __init__(self, failed: Failed) -> None:
        super().__init__(failed.message)
        self.failed = failed


class ModelCalls:
    """Runs model calls on engines."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        broker: share_broker.ShareBroker,
        dispatch: dispatcher.Dispatcher,
        book: target_module.TargetBook,
        meter: demand.DemandMeter,
        gossip: gossips.Gossip,
        budget: retries.RetryBudget,
        group: tasks.TaskGroup,
        permits: suspect_permits.SuspectPermits,
    ) -> None:
        self._fleet = fleet
        self._broker = broker
        self._dispatch = dispatch
        self._book = book
        self._meter = meter
        self._gossip = gossip
        self._budget = budget
        self._group = group
        self._permits = permits
        book.lost.append(self._target_lost)

    async def handle(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        caller: callers.Caller,
        raw: bytes,
        entry: running.Running,
    ) -> web.StreamResponse:
        """Answer a model call; raises outcomes.Refused or CallerGone."""
        limits = self._fleet.catalog.configuration.limits
        is_chat = request.path.endswith("/chat/completions")
        parsed = model_requests.parse(raw, is_chat, limits)
        name = self._fleet.catalog.find_model(parsed.model)
        if name is None:
            raise outcomes.Refused(_no_model(parsed.model))
        fingerprint = suspicion.fingerprint_of(
            caller.team,
            str(name),
            parsed.payload,
        )
        self._refuse_poison(fingerprint)
        loan = await self._charge(caller.team, parsed.cost.total)
        self._meter.arrived(name, parsed.cost.answer_tokens)
        now_ms = self._fleet.clock.now_ms()
        context = Context(
            request_id,
            caller,
            request,
            parsed,
            name,
            fingerprint,
            loan,
            now_ms,
            now_ms + limits.request_timeout_ms,
            entry,
        )
        try:
            return await self._run(context)
        finally:
            self._fleet.shares.settle(loan)

    async def _charge(self, team: ids.TeamId, tokens: int) -> shares.Loan:
        outcome = await self._broker.charge(team, tokens)
        if isinstance(outcome, shares.Loan):
            return outcome
        self._fleet.metrics.count("rate.refused")
        if not outcome.attainable:
            raise outcomes.Refused(
                outcomes.Refusal(
                    outcomes.Code.RATE_UNATTAINABLE,
                    f"needs {tokens} tokens, more than the team's burst; "
                    "lower max_tokens",
                    outcomes.Step.ADMIT,
                    not_run=True,
                )
            )
        raise outcomes.Refused(
            outcomes.Refusal(
                outcomes.Code.RATE_EXCEEDED,
                "the team is above its rate and burst; come back later",
                outcomes.Step.ADMIT,
                not_run=True,
                retry_after_ms=self._broker.retry_after_ms(
                    team,
                    outcome.missing_tokens,
                ),
            )
        )

    def _refuse_poison(self, fingerprint: str) -> None:
        if not self._fleet.suspicions.is_refused(fingerprint):
            return
        raise outcomes.Refused(
            outcomes.Refusal(
                outcomes.Code.SUSPECT_REFUSED,
                "this request was running on several targets that died",
                outcomes.Step.ADMIT,
                not_run=True,
                retry_after_ms=self._fleet.suspicions.retry_after_ms(
                    fingerprint
                ),
            )
        )

    async def _run(self, context: Context) -> web.StreamResponse:
        """Try targets until one answers or nothing is left to try.

        A refusal says "not run" only if no attempt may have run.
        """
        try:
            return await self._try_targets(context)
        except outcomes.Refused as refused:
            if not context.may_have_run:
                raise
            raise outcomes.Refused(
                dataclasses.replace(refused.refusal, not_run=False)
            ) from refused

    async def _try_targets(self, context: Context) -> web.StreamResponse:
        self._budget.earn()
        last = Failed(outcomes.Step.ROUTE, outcomes.NO_PEER, "", True)
        for _ in range(MAX_ATTEMPTS):
            self._refuse_poison(context.fingerprint)
            try:
                response = await self._attempt(context)
            except AttemptFailed as failure:
                last = failure.failed
                self._note_failed(context, last)
                if not last.not_run and not self._budget.take():
                    break
                continue
            self._fleet.suspicions.clear(context.fingerprint)
            return response
        self._refuse_poison(context.fingerprint)
        raise outcomes.Refused(
            outcomes.Refusal(
                outcomes.Code.TARGET_FAILED,
                f"no target gave a whole answer: {last.message}",
                last.step,
                not_run=True,
                peer=last.peer,
            )
        )

    def _note_failed(self, context: Context, failed: Failed) -> None:
        if not failed.not_run:
            context.may_have_run = True
        self._fleet.metrics.count("models.attempt_failed")
        LOG.info(
            "models: attempt failed",
            request=context.id,
            step=failed.step.value,
            peer=failed.peer,
            error=failed.message,
        )

    async def _attempt(self, context: Context) -> web.StreamResponse:
        call = self._call(context)
        target = await self._dispatch.acquire(call)
        boot = target.boot
        try:
            if call.is_suspect:
                await self._prepare_suspect(context, target, boot)
            callers.recheck(self._fleet, context.caller)
            context.running.was_sent = True
            self._book.mark_sent(target, context.id)
            with self._fleet.tracer.start_as_current_span(
                "target",
                kind=trace.SpanKind.CLIENT,
                attributes={"target": target.id, "request": context.id},
            ):
                return await self._send(context, target)
        except AttemptFailed as failure:
            context.tried.add(target.id)
            if not failure.failed.not_run:
                await self._suspect_death(context, target, boot)
            raise
        except (asyncio.CancelledError, CallerGone):
            self._spawn(self._cancel(target, context.id))
            raise
        finally:
            self._dispatch.release(target, call)
            if call.is_suspect:
                self._spawn(self._permits.give_back(target.id, context.id))

    async def _prepare_suspect(
        self,
        context: Context,
        target: target_module.Target,
        boot: str,
    ) -> None:
        """Wait for the target to run no other suspect, and look at it.

        The suspect before may have killed it; a request sent to a dead
        target would be scored although it never ran.
        """
        await self._permits.obtain(target.id, context.id)
        self._refuse_poison(context.fingerprint)
        if await self._book.is_dead(target, boot):
            raise _failed(
                outcomes.Step.CONNECT,
                target,
                "the target died before the request was sent",
                not_run=True,
            )

    def _call(self, context: Context) -> dispatcher.Call:
        limits = self._fleet.catalog.configuration.limits
        objectives = self._fleet.catalog.configuration.objectives
        now_ms = self._fleet.clock.now_ms()
        holders = {
            target.id
            for target in self._book.engines()
            if target.has(context.name)
        }
        exclude = set(context.tried)
        if holders and holders <= exclude:
            exclude = set()
        is_suspect = self._fleet.suspicions.is_suspect(context.fingerprint)
        queue_ms = (
            limits.request_timeout_ms
            if is_suspect
            else limits.queue_timeout_ms
        )
        return dispatcher.Call(
            context.id,
            context.caller.team,
            context.name,
            context.parsed.cost.total,
            context.fingerprint,
            context.parsed.prefix,
            is_suspect,
            context.arrived_ms + objectives.first_token_ms,
            min(context.deadline_ms, now_ms + queue_ms),
            exclude,
        )

    async def _send(
        self,
        context: Context,
        target: target_module.Target,
    ) -> web.StreamResponse:
        started_ms = self._fleet.clock.now_ms()
        headers = self._headers(context)
        try:
            response = await target.pool.session.post(
                target.spec.url + context.request.path,
                data=context.parsed.payload,
                headers=headers,
                allow_redirects=False,
                timeout=self._timeout(context),
            )
        except aiohttp.ClientConnectorError as error:
            self._book.note_failure(target)
            raise _failed(
                outcomes.Step.CONNECT, target, error, not_run=True
            ) from error
        except FAILURES as error:
            await self._suspect_silence(target, error)
            raise _failed(
                outcomes.Step.FIRST_BYTE, target, error, not_run=False
            ) from error
        elapsed_ms = self._fleet.clock.now_ms() - started_ms
        target.latency.observe(elapsed_ms)
        self._fleet.metrics.timing("models.first_byte_ms", elapsed_ms)
        async with response:
            await self._check_head(context, target, response)
            if context.parsed.is_stream:
                return await self._stream(context, target, response)
            return await self._whole(context, target, response)

    def _timeout(self, context: Context) -> aiohttp.ClientTimeout:
        """Bound the silence of a target, so that a lost connection shows.

        A whole answer comes after all its tokens, so it may take several
        times what the objective allows them.
        """
        left_ms = context.deadline_ms - self._fleet.clock.now_ms()
        left_s = max(0.001, left_ms / 1000)
        if context.parsed.is_stream:
            return aiohttp.ClientTimeout(
                total=left_s,
                sock_connect=1.0,
                sock_read=min(left_s, STALL_TIMEOUT_S),
            )
        objectives = self._fleet.catalog.configuration.objectives
        tokens_ms = (
            context.parsed.cost.answer_tokens * objectives.between_tokens_ms
        )
        whole_s = STALL_TIMEOUT_S + PACE_FACTOR * tokens_ms / 1000
        return aiohttp.ClientTimeout(
            total=min(left_s, whole_s),
            sock_connect=1.0,
        )

    def _headers(self, context: Context) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: context.id,
        }
        telemetry.PROPAGATOR.inject(headers)
        return headers

    async def _check_head(
        self,
        context: Context,
        target: target_module.Target,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Raise AttemptFailed unless the head belongs to a whole answer."""
        answered = response.headers.get(REQUEST_ID_HEADER, context.id)
        if answered != context.id:
            target.pool.replace()
            self._fleet.metrics.count("models.crossed_answer")
            raise _failed(
                outcomes.Step.FIRST_BYTE,
                target,
                "the answer belongs to another request",
                not_run=False,
            )
        if response.status == 200:
            return
        body = await _read_quietly(response)
        if response.status == 400:
            raise outcomes.Refused(
                outcomes.Refusal(
                    outcomes.Code.BAD_REQUEST,
                    f"the target refused the request: {body[:300]!r}",
                    outcomes.Step.SEND,
                    not_run=_says_not_run(body),
                    peer=target.id,
                )
            )
        raise _failed(
            outcomes.Step.FIRST_BYTE,
            target,
            f"status {response.status}",
            not_run=_says_not_run(body),
        )

    async def _whole(
        self,
        context: Context,
        target: target_module.Target,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        try:
            body = await response.read()
            parsed = orjson.loads(body)
        except (*FAILURES, ValueError) as error:
            await self._suspect_silence(target, error)
            raise _failed(
                outcomes.Step.STREAM, target, error, not_run=False
            ) from error
        if not isinstance(parsed, dict) or "choices" not in parsed:
            raise _failed(
                outcomes.Step.STREAM,
                target,
                "the answer is not whole",
                not_run=False,
            )
        self._fleet.shares.spend(context.loan, _tokens_used(parsed, context))
        return web.Response(
            body=body,
            headers=self._answer_headers(context, "application/json"),
        )

    def _answer_headers(
        self,
        context: Context,
        content_type: str,
    ) -> dict[str, str]:
        headers = {
            "Content-Type": content_type,
            REQUEST_ID_HEADER: context.id,
        }
        telemetry.PROPAGATOR.inject(headers)
        return headers

    async def _stream(
        self,
        context: Context,
        target: target_module.Target,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        """Pass a stream on event by event, and resume it where it breaks."""
        out = web.StreamResponse(
            headers=self._answer_headers(context, "text/event-stream"),
        )
        splitter = sse.EventSplitter()
        self._fleet.shares.spend(
            context.loan,
            context.parsed.cost.prompt_tokens,
        )
        problem = await self._relay(context, out, splitter, response)
        for _ in range(MAX_RESUMES):
            if problem is None:
                break
            if not out.prepared:
                await self._suspect_silence(target, problem)
                raise _failed(
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
        context: Context,
        out: web.StreamResponse,
        splitter: sse.EventSplitter,
        response: aiohttp.ClientResponse,
    ) -> Exception | None:
        """Copy events until the end mark; return what broke, if anything."""
        try:
            while True:
                async with asyncio.timeout(STALL_TIMEOUT_S):
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
        except (*FAILURES, sse.EventTooLarge) as error:
            return error
        if splitter.is_ended:
            return None
        return ConnectionError("the stream ended without its end mark")

    async def _write(
        self,
        context: Context,
        out: web.StreamResponse,
        data: bytes,
    ) -> None:
        """Write to the caller; raises CallerGone if it does not read."""
        timeout_s = self._fleet.settings.write_timeout_ms / 1000
        try:
            if not out.prepared:
                context.running.out = out
                await out.prepare(context.request)
            async with asyncio.timeout(timeout_s):
                await out.write(data)
        except (TimeoutError, ConnectionError) as error:
            raise CallerGone from error

    async def _resume(
        self,
        context: Context,
        target: target_module.Target,
        out: web.StreamResponse,
        splitter: sse.EventSplitter,
        problem: Exception,
    ) -> Exception | None:
        """Continue a broken stream on a new connection to its target."""
        self._fleet.metrics.count("models.resume")
        await self._suspect_silence(target, problem)
        splitter.restart()
        try:
            response = await target.pool.session.get(
                target.spec.url + "/engine/v1/resume",
                params={
                    "request_id": context.id,
                    "from": str(splitter.events),
                },
                headers=self._headers(context),
                timeout=self._timeout(context),
            )
        except FAILURES as error:
            return error
        async with response:
            if response.status != 200:
                return ConnectionError("the target cannot resume the stream")
            return await self._relay(context, out, splitter, response)

    async def _end_broken(
        self,
        context: Context,
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
        await self._write(context, out, error_event(refusal, context.id))

    async def _suspect_silence(
        self,
        target: target_module.Target,
        problem: BaseException,
    ) -> None:
        """After a time-out, drop the pool, and the target if new
        connections fail as well.
        """
        if not isinstance(problem, (asyncio.TimeoutError, OSError)):
            return
        target.pool.replace()
        if not await self._book.probe(target):
            self._book.note_failure(target)

    async def _cancel(
        self,
        target: target_module.Target,
        request: ids.RequestId,
    ) -> None:
        try:
            async with target.pool.session.post(
                target.spec.url + "/engine/v1/cancel",
                json={"request_id": request},
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            ):
                pass
        except FAILURES as error:
            LOG.debug(
                "models: cancel lost", target=target.id, error=repr(error)
            )

    async def _suspect_death(
        self,
        context: Context,
        target: target_module.Target,
        boot: str,
    ) -> None:
        """Score the request if its target died, before it is retried."""
        if not boot or not await self._book.is_dead(target, boot):
            return
        self._fleet.suspicions.record_loss(
            context.fingerprint,
            f"{target.id}/{boot}",
        )
        self._fleet.metrics.count("models.suspects")
        await self._tell_suspects()

    def _target_lost(
        self,
        target: target_module.Target,
        boot: str,
    ) -> None:
        """Score what was in flight on a target that died."""
        doomed = [
            in_flight
            for in_flight in target.in_flight.values()
            if in_flight.boot == boot and in_flight.was_sent
        ]
        for in_flight in doomed:
            self._fleet.suspicions.record_loss(
                in_flight.fingerprint,
                f"{target.id}/{boot}",
            )
        if doomed:
            self._spawn(self._tell_suspects())

    async def _tell_suspects(self) -> None:
        notes = messages.Suspects(self._fleet.suspicions.export())
        await self._gossip.tell_all("/peer/v1/suspects", notes)

    def _spawn(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        self._group.once(work)


class CallerGone(Exception):
    """Raised when the caller has gone or does not read."""


def error_event(refusal: outcomes.Refusal, request: ids.RequestId) -> bytes:
    """Return a refusal as the last event of a stream."""
    body = callers.error_body(refusal, request)
    return b"data: " + orjson.dumps(body) + b"\n\n"


def _failed(
    step: outcomes.Step,
    target: target_module.Target,
    problem: BaseException | str,
    not_run: bool,
) -> AttemptFailed:
    message = problem if isinstance(problem, str) else repr(problem)
    return AttemptFailed(Failed(step, target.id, message, not_run))


def _says_not_run(body: bytes) -> bool:
    try:
        return bool(orjson.loads(body)["error"]["not_run"])
    except (ValueError, KeyError, TypeError):
        return False


async def _read_quietly(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await response.read()
    except FAILURES:
        return b""


def _tokens_used(answer: dict[str, typing.Any], context: Context) -> float:
    usage = answer.get("usage")
    if isinstance(usage, dict) and isinstance(usage.get("total_tokens"), int):
        return float(usage["total_tokens"])
    return float(context.parsed.cost.total)


def _no_model(model: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.NOT_FOUND,
        f"model: {model!r} is not listed; see /v1/models",
        outcomes.Step.ROUTE,
        not_run=True,
    )
