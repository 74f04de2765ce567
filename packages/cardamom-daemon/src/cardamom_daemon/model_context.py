"""The state of one model call, and how an attempt at it may fail."""

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
from cardamom_platform import pools

STALL_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIME_FACTOR = 4


@dataclasses.dataclass
class Context:
    """The state of one model call, from admission to its answer.

    Times are on the instance's clock.  ``reservation`` is the charge for the
    call in tokens.
    """

    id: ids.RequestId
    caller: callers.Caller
    request: web.Request
    parsed: model_requests.ModelRequest
    model_name: catalog.ModelName
    fingerprint: str
    reservation: shares.Reservation
    arrived_ms: int
    deadline_ms: int
    running_request: running.RunningRequest
    may_have_run: bool = False
    tried_targets: set[ids.TargetId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Failure:
    """How an attempt failed; no byte has reached the caller."""

    step: outcomes.Step
    peer: str
    message: str
    not_run: bool


class AttemptFailed(Exception):
    """Raised for a failed attempt; ``failure`` describes it."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class CallerDisconnected(Exception):
    """Raised when the caller has disconnected or does not read in time."""


def attempt_failed(
    step: outcomes.Step,
    target: target_module.Target,
    problem: Exception | str,
    not_run: bool,
) -> AttemptFailed:
    """Return the exception for a failed attempt at a target."""
    message = problem if isinstance(problem, str) else pools.describe(problem)
    return AttemptFailed(Failure(step, target.id, message, not_run))


def timeout(fleet: fleets.Fleet, context: Context) -> aiohttp.ClientTimeout:
    """Return the timeouts of a request to a target.

    They detect a broken connection.  A stream may be silent for
    STALL_TIMEOUT_S.  An answer that is not streamed is sent after all its
    tokens, so it may also take ANSWER_TIME_FACTOR times what the objective
    allows for these tokens.
    """
    remaining_ms = context.deadline_ms - fleet.clock.now_ms()
    remaining_s = max(0.001, remaining_ms / 1000)
    if context.parsed.is_stream:
        return aiohttp.ClientTimeout(
            total=remaining_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=min(remaining_s, STALL_TIMEOUT_S),
        )
    objectives = fleet.catalog.configuration.objectives
    expected_ms = (
        context.parsed.cost.answer_tokens * objectives.between_tokens_ms
    )
    answer_s = STALL_TIMEOUT_S + ANSWER_TIME_FACTOR * expected_ms / 1000
    return aiohttp.ClientTimeout(
        total=min(remaining_s, answer_s),
        sock_connect=CONNECT_TIMEOUT_S,
    )


def headers(context: Context, content_type: str) -> dict[str, str]:
    """Return headers for a request to a target or an answer to the caller."""
    result = {
        "Content-Type": content_type,
        callers.REQUEST_ID_HEADER: context.id,
    }
    telemetry.PROPAGATOR.inject(result)
    return result


def error_event(refusal: outcomes.Refusal, request_id: ids.RequestId) -> bytes:
    """Return a refusal as the last server-sent event of a stream."""
    body = callers.error_body(refusal, request_id)
    return b"data: " + orjson.dumps(body) + b"\n\n"
