"""Refusals of calls, with the reason, the step and the peer involved."""

import dataclasses
import enum

NO_PEER = "-"


class Step(enum.Enum):
    """The step of a request at which it was refused or failed."""

    RECEIVE = "receive"
    AUTHENTICATE = "authenticate"
    FRESHNESS = "freshness"
    ADMIT = "admit"
    QUEUE = "queue"
    ROUTE = "route"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    FIRST_BYTE = "first_byte"
    STREAM = "stream"
    CONFIGURE = "configure"
    OPERATE = "operate"


class Code(enum.Enum):
    """Why a request was refused or failed; the value is sent as JSON."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    STILL_RUNNING = "still_running"
    RATE_EXCEEDED = "rate_exceeded"
    RATE_UNATTAINABLE = "rate_unattainable"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NOT_FRESH = "not_fresh"
    DRAINING = "draining"
    MODEL_LOADING = "model_loading"
    NO_TARGET = "no_target"
    SUSPECT_REFUSED = "suspect_refused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    TARGET_FAILED = "target_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONFLICT = "conflict"
    INVALID_CONFIGURATION = "invalid_configuration"
    UNAVAILABLE = "unavailable"
    INTERNAL = "internal"


STATUS_BY_CODE: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.TOO_LARGE: 413,
    Code.UNAUTHORIZED: 401,
    Code.KEY_WITHDRAWN: 401,
    Code.NOT_FOUND: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.IDEMPOTENCY_KEY_REQUIRED: 400,
    Code.IDEMPOTENCY_KEY_REUSED: 422,
    Code.STILL_RUNNING: 409,
    Code.RATE_EXCEEDED: 429,
    Code.RATE_UNATTAINABLE: 400,
    Code.OVERLOADED: 503,
    Code.DEADLINE_UNREACHABLE: 503,
    Code.DEADLINE_EXCEEDED: 504,
    Code.NOT_FRESH: 503,
    Code.DRAINING: 503,
    Code.MODEL_LOADING: 503,
    Code.NO_TARGET: 503,
    Code.SUSPECT_REFUSED: 422,
    Code.CLAIM_UNAVAILABLE: 503,
    Code.TARGET_FAILED: 502,
    Code.OUTCOME_UNKNOWN: 502,
    Code.CONFLICT: 409,
    Code.INVALID_CONFIGURATION: 422,
    Code.UNAVAILABLE: 503,
    Code.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request ends without a complete answer.

    ``not_run`` is true only if no byte of the request reached a target, or
    if the target itself reported that it did not run the request.  ``peer``
    names the other party of the failed step, or is ``NO_PEER``.
    """

    code: Code
    message: str
    step: Step
    not_run: bool
    peer: str = NO_PEER
    retry_after_ms: int | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code of this refusal."""
        return STATUS_BY_CODE[self.code]


class RequestRefused(Exception):
    """Raised to pass a refusal to the handler that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.code.value}: {refusal.message}")
        self.refusal = refusal
