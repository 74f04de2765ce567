"""One model call on its way, and how it may fail."""

import dataclasses

import aiohttp
from aiohttp import web
import orjson

from cardamom_daemon import callers
from cardamom_daemon import catalog
from cardamom_daemon import fleet as fleets
from cardamom_daemon import model_requests
from cardamom_daemon import running
from cardamom_daemon import targets as target_module
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_kernel import shares
from cardamom_kernel import telemetry

STALL_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
PACE_FACTOR = 4


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


class CallerGone(Exception):
    """Raised when the caller has gone or does not read."""


def failed(
    step: outcomes.Step,
    target: target_module.Target,
    problem: BaseException | str,
    not_run: bool,
) -> AttemptFailed:
    """Return the failure of an attempt at a target."""
    message = problem if isinstance(problem, str) else repr(problem)
    return AttemptFailed(Failed(step, target.id, message, not_run))


def timeout(fleet: fleets.Fleet, context: Context) -> aiohttp.ClientTimeout:
    """Bound the silence of a target, so that a lost connection shows.

    A whole answer comes after all its tokens, so it may take several times
    what the objective allows them.
    """
    left_ms = context.deadline_ms - fleet.clock.now_ms()
    left_s = max(0.001, left_ms / 1000)
    if context.parsed.is_stream:
        return aiohttp.ClientTimeout(
            total=left_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=min(left_s, STALL_TIMEOUT_S),
        )
    objectives = fleet.catalog.configuration.objectives
    tokens_ms = (
        context.parsed.cost.answer_tokens * objectives.between_tokens_ms
    )
    whole_s = STALL_TIMEOUT_S + PACE_FACTOR * tokens_ms / 1000
    return aiohttp.ClientTimeout(
        total=min(left_s, whole_s),
        sock_connect=CONNECT_TIMEOUT_S,
    )


def headers(context: Context, content_type: str) -> dict[str, str]:
    """Return the headers of both the request to a target and the answer."""
    made = {
        "Content-Type": content_type,
        callers.REQUEST_ID_HEADER: context.id,
    }
    telemetry.PROPAGATOR.inject(made)
    return made


def error_event(refusal: outcomes.Refusal, request: ids.RequestId) -> bytes:
    """Return a refusal as the last event of a stream."""
    body = callers.error_body(refusal, request)
    return b"data: " + orjson.dumps(body) + b"\n\n"
