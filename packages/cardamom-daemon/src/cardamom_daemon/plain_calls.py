"""Idempotent calls to plain services, retried on other targets.

A plain service is a target that is not an engine; a plain call is a request
on one of the configured routes.
"""

import dataclasses

import aiohttp
from aiohttp import web

from cardamom_config import schema
from cardamom_daemon import callers
from cardamom_daemon import fleet as fleets
from cardamom_daemon import targets as target_module
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_kernel import telemetry
from cardamom_platform import answer_bodies
from cardamom_platform import pools
from cardamom_policy import retries
from cardamom_policy import routing

MAX_ATTEMPTS = 3
MAX_ANSWER_BYTES = 32 << 20
RETURNED_HEADERS = (
    "Content-Type",
    "Content-Encoding",
    "Cache-Control",
    "ETag",
    "Last-Modified",
    "Location",
)


@dataclasses.dataclass(frozen=True)
class PlainCall:
    """A plain call as it is sent to a target."""

    id: ids.RequestId
    route_name: str
    route: schema.Route
    method: str
    path: str
    query: tuple[tuple[str, str], ...]
    headers: dict[str, str]
    body: bytes
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """A complete answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes

    def to_response(self, request_id: ids.RequestId) -> web.Response:
        """Return the response to the caller."""
        headers = {**self.headers, callers.REQUEST_ID_HEADER: request_id}
        telemetry.PROPAGATOR.inject(headers)
        return web.Response(
            status=self.status,
            headers=headers,
            body=self.body,
        )


class PlainCalls:
    """Runs idempotent plain calls."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        target_registry: target_module.TargetRegistry,
        budget: retries.RetryBudget,
    ) -> None:
        self._fleet = fleet
        self._target_registry = target_registry
        self._budget = budget

    async def run(
        self,
        call: PlainCall,
        caller: callers.Caller | None,
    ) -> PlainAnswer:
        """Return the answer of the first target that answers.

        Raises outcomes.RequestRefused; its ``not_run`` is true only if no
        attempt may have run.
        """
        self._budget.record_first_attempt()
        tried_targets: set[ids.TargetId] = set()
        may_have_run = False
        message, peer, step = "no target is up", "-", outcomes.Step.ROUTE
        for _ in range(MAX_ATTEMPTS):
            target = choose_service(
                self._target_registry, call.route.group, tried_targets
            )
            if target is None:
                break
            try:
                callers.recheck(self._fleet, caller)
                return await self._attempt(call, target)
            except outcomes.RequestRefused as refused:
                raise outcomes.RequestRefused(
                    dataclasses.replace(
                        refused.refusal, not_run=not may_have_run
                    )
                ) from refused
            except pools.CONNECT_ERRORS as error:
                self._target_registry.count_failure(target)
                step, message, peer = (
                    outcomes.Step.CONNECT,
                    repr(error),
                    target.id,
                )
            except pools.NETWORK_ERRORS as error:
                may_have_run = True
                target.pool.replace()
                step, message, peer = (
                    outcomes.Step.FIRST_BYTE,
                    pools.describe(error),
                    target.id,
                )
                if not self._budget.try_retry():
                    break
            tried_targets.add(target.id)
            self._fleet.metrics.count("plain.retry")
        raise outcomes.RequestRefused(
            outcomes.Refusal(
                outcomes.Code.TARGET_FAILED
                if may_have_run
                else outcomes.Code.NO_TARGET,
                f"no target of {call.route.group!r} answered: {message}",
                step,
                not_run=not may_have_run,
                peer=peer,
                retry_after_ms=1_000,
            )
        )

    async def _attempt(
        self,
        call: PlainCall,
        target: target_module.Target,
    ) -> PlainAnswer:
        self._target_registry.begin_request(target, call.id, "", False)
        started_ms = self._fleet.clock.now_ms()
        timeout_s = max(0.001, (call.deadline_ms - started_ms) / 1000)
        try:
            answer = await send(
                target.pool.session,
                call,
                target,
                timeout_s / MAX_ATTEMPTS,
                self._fleet,
            )
        finally:
            self._target_registry.end_request(target, call.id)
        target.latency.observe(self._fleet.clock.now_ms() - started_ms)
        return answer


def choose_service(
    target_registry: target_module.TargetRegistry,
    group: str,
    excluded: set[ids.TargetId],
) -> target_module.Target | None:
    """Return the service of a group for the next call, or None."""
    candidates = target_registry.candidates(
        target_registry.services(group), {}
    )
    chosen = routing.choose(candidates, exclude=excluded)
    return target_registry.by_id[chosen.id] if chosen else None


async def send(
    session: aiohttp.ClientSession,
    call: PlainCall,
    target: target_module.Target,
    timeout_s: float,
    fleet: fleets.Fleet,
) -> PlainAnswer:
    """Send a call once and return the complete answer.

    Raises one of pools.CONNECT_ERRORS if no byte was sent, else one of
    pools.NETWORK_ERRORS.  The total timeout is in seconds.
    """
    headers = {**call.headers, callers.REQUEST_ID_HEADER: call.id}
    with fleet.tracer.start_as_current_span(
        "target",
        attributes={"target": target.id, "request": call.id},
    ):
        telemetry.PROPAGATOR.inject(headers)
        async with session.request(
            call.method,
            target.spec.url + call.path,
            params=list(call.query),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0),
        ) as response:
            answered_id = response.headers.get(
                callers.REQUEST_ID_HEADER, call.id
            )
            if answered_id != call.id:
                raise aiohttp.ClientPayloadError(
                    "the answer belongs to another request"
                )
            body = await answer_bodies.read(response, MAX_ANSWER_BYTES)
            return PlainAnswer(
                response.status,
                {
                    name: response.headers[name]
                    for name in RETURNED_HEADERS
                    if name in response.headers
                },
                body,
            )
