"""Plain calls that may run at most once: claimed before they are sent."""

import asyncio
import base64
import dataclasses
import typing

import orjson
import structlog

from cardamom_daemon import callers
from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import plain_calls
from cardamom_daemon import targets as target_module
from cardamom_kernel import claims
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_kernel import tasks
from cardamom_platform import interfaces
from cardamom_platform import pools

LOG = structlog.get_logger("cardamom.single")

MAX_KEY_LENGTH = 255
MAX_INLINE_BYTES = 32 << 10
MAX_RECORD_ATTEMPTS = 40
RECORD_WAIT_S = 1.0
RECORD_RETRY_DELAY_MS = 1_500
CLAIM_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True)
class AtMostOnceCall:
    """A call that may run at most once, with its caller and its attempt."""

    plain: plain_calls.PlainCall
    caller: callers.Caller
    attempt: claims.Attempt


class AtMostOnceCalls:
    """Runs non-idempotent calls at most once."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        target_registry: target_module.TargetRegistry,
        objects: interfaces.ObjectStore | None,
        gossip: gossips.Gossip,
        group: tasks.TaskGroup,
    ) -> None:
        self._fleet = fleet
        self._target_registry = target_registry
        self._objects = objects
        self._gossip = gossip
        self._group = group
        self._claims = claims.Claims(fleet.table)
        self._pool = pools.Pool(pools.PoolSettings(reuse_connections=False))
        self.in_flight = 0

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    def make_call(
        self,
        plain: plain_calls.PlainCall,
        caller: callers.Caller,
        idempotency_key: str,
    ) -> AtMostOnceCall:
        """Return a call with a new attempt.

        Raises outcomes.RequestRefused for a missing or invalid idempotency
        key.
        """
        if not idempotency_key:
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.IDEMPOTENCY_KEY_REQUIRED,
                    "Idempotency-Key: is required on this route",
                    outcomes.Step.RECEIVE,
                    not_run=True,
                )
            )
        if len(idempotency_key) > MAX_KEY_LENGTH or callers.may_contain_key(
            idempotency_key
        ):
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.BAD_REQUEST,
                    f"Idempotency-Key: at most {MAX_KEY_LENGTH} characters, "
                    "and not a caller's key",
                    outcomes.Step.RECEIVE,
                    not_run=True,
                )
            )
        body_hash = claims.hash_body(
            plain.method.encode(),
            plain.path.encode(),
            orjson.dumps(plain.query),
            plain.body,
        )
        attempt = claims.Attempt(
            ids.AttemptId(ids.random_id("try")),
            caller.team,
            idempotency_key,
            body_hash,
            self._fleet.instance,
        )
        return AtMostOnceCall(plain, caller, attempt)

    async def run(self, call: AtMostOnceCall) -> plain_calls.PlainAnswer:
        """Run a call, or return the stored answer of its first run.

        Raises outcomes.RequestRefused.  The call continues to its end if the
        caller disconnects.
        """
        return await asyncio.shield(
            self._group.run_in_background(self._run_counted(call))
        )

    async def _run_counted(
        self, call: AtMostOnceCall
    ) -> plain_calls.PlainAnswer:
        self.in_flight += 1
        try:
            return await self._run(call)
        finally:
            self.in_flight -= 1

    async def _run(self, call: AtMostOnceCall) -> plain_calls.PlainAnswer:
        group = call.plain.route.group
        target = plain_calls.choose_service(
            self._target_registry, group, set()
        )
        if target is None:
            raise _refused(
                outcomes.Code.NO_TARGET,
                f"no target of {group!r} is up",
                outcomes.Step.ROUTE,
                not_run=True,
                retry_after_ms=CLAIM_RETRY_AFTER_MS,
            )
        decision = await self._claims.claim(call.attempt)
        if decision.verdict is not claims.Verdict.GRANTED:
            return await self._answer_not_granted(call, decision)
        try:
            callers.recheck(self._fleet, call.caller)
        except outcomes.RequestRefused:
            await self._record(call, claims.ClaimState.RELEASED)
            raise
        return await self._send(call, target)

    async def _send(
        self,
        call: AtMostOnceCall,
        target: target_module.Target,
    ) -> plain_calls.PlainAnswer:
        """Send once, on a new connection, and record the outcome."""
        self._target_registry.begin_request(target, call.plain.id, "", False)
        timeout_s = call.plain.route.timeout_ms / 1000
        try:
            answer = await plain_calls.send(
                self._pool.session,
                call.plain,
                target,
                timeout_s,
                self._fleet,
            )
        except pools.CONNECT_ERRORS as error:
            self._target_registry.count_failure(target)
            await self._record(call, claims.ClaimState.RELEASED)
            raise _refused(
                outcomes.Code.NO_TARGET,
                f"no connection to the target: {error!r}",
                outcomes.Step.CONNECT,
                not_run=True,
                peer=target.id,
                retry_after_ms=CLAIM_RETRY_AFTER_MS,
            ) from error
        except pools.NETWORK_ERRORS as error:
            await self._record(call, claims.ClaimState.UNKNOWN)
            raise _refused(
                outcomes.Code.OUTCOME_UNKNOWN,
                f"the target may have run the call: {pools.describe(error)}",
                outcomes.Step.SEND,
                not_run=False,
                peer=target.id,
            ) from error
        finally:
            self._target_registry.end_request(target, call.plain.id)
        stored = await self._prepare_record(call, answer)
        await self._record(call, claims.ClaimState.DONE, stored)
        return answer

    async def _record(
        self,
        call: AtMostOnceCall,
        state: claims.ClaimState,
        answer: dict[str, typing.Any] | None = None,
    ) -> None:
        """Store the outcome before the caller receives it.

        If the table takes longer than RECORD_WAIT_S, the caller receives its
        answer first and the outcome is stored in the background.
        """
        work = self._record_until_stored(call, state, answer)
        task = self._group.run_in_background(work)
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    async def _record_until_stored(
        self,
        call: AtMostOnceCall,
        state: claims.ClaimState,
        answer: dict[str, typing.Any] | None,
    ) -> None:
        for _ in range(MAX_RECORD_ATTEMPTS):
            if await self._claims.finish(call.attempt, state, answer):
                return
            await self._fleet.clock.sleep_ms(RECORD_RETRY_DELAY_MS)
        LOG.warning("single: outcome not stored", attempt=call.attempt.id)

    async def _prepare_record(
        self,
        call: AtMostOnceCall,
        answer: plain_calls.PlainAnswer,
    ) -> dict[str, typing.Any]:
        """Return an answer as it is stored in its claim.

        A body larger than MAX_INLINE_BYTES goes to the object store, if one
        is configured.
        """
        stored: dict[str, typing.Any] = {
            "status": answer.status,
            "headers": answer.headers,
        }
        if len(answer.body) <= MAX_INLINE_BYTES or self._objects is None:
            stored["body"] = base64.b64encode(answer.body).decode()
            return stored
        stored["object"] = f"answers/{call.attempt.id}"
        try:
            await self._objects.put(stored["object"], answer.body)
        except interfaces.ObjectsUnavailable as error:
            LOG.warning("single: answer not stored", error=repr(error))
        return stored

    async def _read_stored_answer(
        self,
        stored: typing.Mapping[str, typing.Any],
    ) -> plain_calls.PlainAnswer:
        """Return an answer from its record; raises outcomes.RequestRefused."""
        body = base64.b64decode(stored.get("body", ""))
        if "object" in stored and self._objects is not None:
            try:
                stored_body = await self._objects.get(stored["object"])
            except interfaces.ObjectsUnavailable:
                stored_body = None
            if stored_body is None:
                raise _refused(
                    outcomes.Code.UNAVAILABLE,
                    "the call ran, but its answer cannot be read now",
                    outcomes.Step.CLAIM,
                    not_run=False,
                    retry_after_ms=CLAIM_RETRY_AFTER_MS,
                )
            body = stored_body
        return plain_calls.PlainAnswer(
            stored["status"],
            dict(stored["headers"]),
            body,
        )

    async def _answer_not_granted(
        self,
        call: AtMostOnceCall,
        decision: claims.Decision,
    ) -> plain_calls.PlainAnswer:
        """Return the stored answer, or raise the refusal for the verdict."""
        verdict = decision.verdict
        if verdict is claims.Verdict.ANSWERED and decision.answer is not None:
            return await self._read_stored_answer(decision.answer)
        if verdict is claims.Verdict.KEY_REUSED:
            raise _refused(
                outcomes.Code.IDEMPOTENCY_KEY_REUSED,
                "Idempotency-Key: was already used for a different request",
                outcomes.Step.CLAIM,
                not_run=True,
            )
        if verdict is claims.Verdict.UNAVAILABLE:
            await self._record(call, claims.ClaimState.RELEASED)
            raise _refused(
                outcomes.Code.CLAIM_UNAVAILABLE,
                "the call cannot be recorded now; try again later",
                outcomes.Step.CLAIM,
                not_run=True,
                retry_after_ms=CLAIM_RETRY_AFTER_MS,
            )
        if verdict is claims.Verdict.RUNNING and self._is_live(
            decision.holder
        ):
            raise _refused(
                outcomes.Code.STILL_RUNNING,
                "the first call with this Idempotency-Key is still running",
                outcomes.Step.CLAIM,
                not_run=False,
                peer=decision.holder,
                retry_after_ms=CLAIM_RETRY_AFTER_MS,
            )
        raise _refused(
            outcomes.Code.OUTCOME_UNKNOWN,
            "an earlier call with this Idempotency-Key may have run",
            outcomes.Step.CLAIM,
            not_run=False,
            peer=decision.holder,
        )

    def _is_live(self, instance: ids.InstanceId) -> bool:
        if instance == self._fleet.instance:
            return True
        return self._gossip.find(instance) is not None


def _refused(
    code: outcomes.Code,
    message: str,
    step: outcomes.Step,
    not_run: bool,
    peer: str = outcomes.NO_PEER,
    retry_after_ms: int | None = None,
) -> outcomes.RequestRefused:
    refusal = outcomes.Refusal(
        code, message, step, not_run, peer, retry_after_ms
    )
    return outcomes.RequestRefused(refusal)
