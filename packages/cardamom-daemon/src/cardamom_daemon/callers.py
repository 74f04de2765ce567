"""What a caller sent: its key, and what of its request may travel on."""

import dataclasses
import typing

from aiohttp import web

from cardamom_daemon import fleet as fleets
from cardamom_daemon import keyring
from cardamom_daemon import running
from cardamom_kernel import ids
from cardamom_kernel import outcomes

PASSED_HEADERS = (
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
    """A caller whose key was found; ``key`` itself is never passed on."""

    team: ids.TeamId
    key_id: ids.KeyId
    key: str


def presented_key(request: web.Request) -> str | None:
    """Return the key that a request shows, if any."""
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
    """Return the caller of a key; raises outcomes.Refused.

    Only a fresh instance may say that a key is unknown, since one that has
    just started has not read the keys yet.
    """
    if key is None:
        raise outcomes.Refused(
            _unauthorized("no key was shown; send Authorization: Bearer KEY")
        )
    record = fleet.keyring.find(key)
    if record is None:
        require_fresh(fleet)
        raise outcomes.Refused(_unauthorized("the key is not known"))
    if record.id in fleet.withdrawn:
        raise outcomes.Refused(running.withdrawn_refusal(not_run=True))
    return Caller(record.team, record.id, key)


def require_fresh(fleet: fleets.Fleet) -> None:
    """Refuse unless this instance may act; raises outcomes.Refused."""
    if fleet.is_fresh():
        return
    raise outcomes.Refused(
        outcomes.Refusal(
            outcomes.Code.NOT_FRESH,
            "this instance has lost contact with the others; try again",
            outcomes.Step.FRESHNESS,
            not_run=True,
            retry_after_ms=fleet.settings.freshness_ms,
        )
    )


def recheck(fleet: fleets.Fleet, caller: Caller | None) -> None:
    """Check freshness and key again at the act; raises outcomes.Refused."""
    require_fresh(fleet)
    if caller is not None and caller.key_id in fleet.withdrawn:
        raise outcomes.Refused(running.withdrawn_refusal(not_run=True))


def refuse_key(fleet: fleets.Fleet, text: str, where: str) -> None:
    """Refuse a text that would carry a key to a target.

    Any key that is kept counts, also another team's.  Raises
    outcomes.Refused.
    """
    if fleet.keyring.holds_key(text):
        raise outcomes.Refused(
            outcomes.Refusal(
                outcomes.Code.BAD_REQUEST,
                f"{where}: holds a key; send it only as a header",
                outcomes.Step.RECEIVE,
                not_run=True,
            )
        )


def refuse_key_in_body(fleet: fleets.Fleet, body: bytes) -> None:
    """Refuse a body that holds a key; raises outcomes.Refused."""
    if keyring.KEY_PREFIX.encode() in body:
        refuse_key(fleet, body.decode("latin-1"), "body")


def passed_headers(
    fleet: fleets.Fleet,
    request: web.Request,
) -> dict[str, str]:
    """Return the headers that travel on to a target."""
    return {
        name: value
        for name in PASSED_HEADERS
        if (value := request.headers.get(name)) is not None
        and not fleet.keyring.holds_key(value)
    }


def passed_query(
    fleet: fleets.Fleet,
    request: web.Request,
) -> list[tuple[str, str]]:
    """Return the query fields that travel on to a target."""
    return [
        (name, value)
        for name, value in request.query.items()
        if name not in KEY_QUERY_FIELDS
        and not fleet.keyring.holds_key(f"{name}={value}")
    ]


def looks_like_key(text: str) -> bool:
    """Tell whether a text might be a key."""
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
    request: ids.RequestId,
) -> dict[str, typing.Any]:
    """Return the JSON of a refusal."""
    return {
        "error": {
            "code": refusal.code.value,
            "type": refusal.code.value,
            "message": refusal.message,
            "not_run": refusal.not_run,
            "step": refusal.step.value,
            "peer": refusal.peer,
            "request_id": request,
        }
    }
