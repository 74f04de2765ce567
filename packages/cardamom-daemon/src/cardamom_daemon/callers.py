"""Authentication of callers, and what a request may carry to a target."""

import dataclasses
import typing

from aiohttp import web

from cardamom_daemon import fleet as fleets
from cardamom_daemon import keyring
from cardamom_daemon import running
from cardamom_kernel import ids
from cardamom_kernel import outcomes

FORWARDED_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Type",
    "If-Match",
    "If-None-Match",
    "If-Modified-Since",
    "Range",
    "User-Agent",
)
REQUEST_ID_HEADER = "X-Request-Id"
KEY_QUERY_FIELDS = ("api_key", "key", "access_token")


@dataclasses.dataclass(frozen=True)
class Caller:
    """An authenticated caller; ``key`` is never forwarded to a target."""

    team: ids.TeamId
    key_id: ids.KeyId
    key: str


def read_key(request: web.Request) -> str | None:
    """Return the key that a request carries, or None.

    It is read from the Authorization header, the X-Api-Key header or a query
    field, in this order.
    """
    authorization = request.headers.get("Authorization", "")
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() == "bearer" and token.strip():
        return token.strip()
    return request.headers.get("X-Api-Key") or next(
        (
            request.query[field]
            for field in KEY_QUERY_FIELDS
            if field in request.query
        ),
        None,
    )


def authenticate(fleet: fleets.Fleet, key: str | None) -> Caller:
    """Return the caller of a key; raises outcomes.RequestRefused.

    Only a fresh instance may refuse a key as unknown, since one that has
    just started has not read the keys yet.
    """
    if key is None:
        raise outcomes.RequestRefused(
            _unauthorized("no key was sent; send Authorization: Bearer KEY")
        )
    record = fleet.keyring.find(key)
    if record is None:
        require_fresh(fleet)
        raise outcomes.RequestRefused(_unauthorized("the key is not known"))
    if record.id in fleet.withdrawn:
        raise outcomes.RequestRefused(running.withdrawn_refusal(not_run=True))
    return Caller(record.team, record.id, key)


def require_fresh(fleet: fleets.Fleet) -> None:
    """Raise outcomes.RequestRefused unless this instance's data is fresh."""
    if fleet.is_fresh():
        return
    raise outcomes.RequestRefused(
        outcomes.Refusal(
            outcomes.Code.NOT_FRESH,
            "this instance has lost contact with other instances; try again",
            outcomes.Step.FRESHNESS,
            not_run=True,
            retry_after_ms=fleet.settings.freshness_ms,
        )
    )


def recheck(fleet: fleets.Fleet, caller: Caller | None) -> None:
    """Check freshness and key again just before a request is sent.

    Raises outcomes.RequestRefused.
    """
    require_fresh(fleet)
    if caller is not None and caller.key_id in fleet.withdrawn:
        raise outcomes.RequestRefused(running.withdrawn_refusal(not_run=True))


def refuse_text_with_key(fleet: fleets.Fleet, text: str, field: str) -> None:
    """Raise outcomes.RequestRefused if a text for a target contains a key.

    The keys of all teams count.  ``field`` is the part of the request that
    the message names.
    """
    if fleet.keyring.contains_key(text):
        raise outcomes.RequestRefused(
            outcomes.Refusal(
                outcomes.Code.BAD_REQUEST,
                f"{field}: holds a key; send it only as a header",
                outcomes.Step.RECEIVE,
                not_run=True,
            )
        )


def refuse_body_with_key(fleet: fleets.Fleet, body: bytes) -> None:
    """Raise outcomes.RequestRefused if a body contains a key."""
    if keyring.KEY_PREFIX.encode() in body:
        refuse_text_with_key(fleet, body.decode("latin-1"), "body")


def forwarded_headers(
    fleet: fleets.Fleet,
    request: web.Request,
) -> dict[str, str]:
    """Return the headers that are forwarded to a target."""
    return {
        name: value
        for name in FORWARDED_HEADERS
        if (value := request.headers.get(name)) is not None
        and not fleet.keyring.contains_key(value)
    }


def forwarded_query(
    fleet: fleets.Fleet,
    request: web.Request,
) -> list[tuple[str, str]]:
    """Return the query fields that are forwarded to a target."""
    return [
        (name, value)
        for name, value in request.query.items()
        if name not in KEY_QUERY_FIELDS
        and not fleet.keyring.contains_key(f"{name}={value}")
    ]


def may_contain_key(text: str) -> bool:
    """Return whether a text may contain a key."""
    return keyring.KEY_PREFIX in text


def _unauthorized(message: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.UNAUTHORIZED,
        message,
        outcomes.Step.AUTHENTICATE,
        not_run=True,
    )


def error_body(
    refusal: outcomes.Refusal,
    request_id: ids.RequestId,
) -> dict[str, typing.Any]:
    """Return the JSON body of an answer that refuses a request."""
    return {
        "error": {
            "code": refusal.code.value,
            "type": refusal.code.value,
            "message": refusal.message,
            "not_run": refusal.not_run,
            "step": refusal.step.value,
            "peer": refusal.peer,
            "request_id": request_id,
        }
    }
