"""The operator port: health, status, configuration, keys and drains."""

import hmac
import typing

from aiohttp import web
import orjson
import pydantic
import structlog

from cardamom_config import diffs
from cardamom_config import folders
from cardamom_config import plausibility
from cardamom_daemon import changes
from cardamom_daemon import fleet as fleets
from cardamom_daemon import status
from cardamom_kernel import ids
from cardamom_kernel import outcomes

LOG = structlog.get_logger("cardamom.operator")

OPEN_PATHS = ("/healthz", "/readyz")
MAX_BODY_BYTES = 64 << 20


class ApplyBody(pydantic.BaseModel):
    """A new configuration and the version it is based on."""

    model_config = pydantic.ConfigDict(extra="forbid")

    configuration: dict[str, typing.Any]
    based_on: int
    apply_id: str


class KeyBody(pydantic.BaseModel):
    """The team of a new key, and a label that helps to recognise it."""

    model_config = pydantic.ConfigDict(extra="forbid")

    team: str
    label: str = ""


class OperatorPort:
    """Handlers of the operator port.

    Every path but those in OPEN_PATHS needs the operator key. Errors are
    answered as a JSON object with the key ``error``.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        operator_changes: changes.Changes,
        status_report: status.StatusReport,
        begin_drain: typing.Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._changes = operator_changes
        self._status_report = status_report
        self._begin_drain = begin_drain

    def application(self) -> web.Application:
        """Return the web application of the port."""
        app = web.Application(
            middlewares=[self._check_request],
            client_max_size=MAX_BODY_BYTES,
        )
        app.add_routes(
            [
                web.get("/healthz", self._get_health),
                web.get("/readyz", self._get_readiness),
                web.get("/v1/status", self._get_status),
                web.get("/v1/why/{model}", self._explain),
                web.get("/v1/config", self._get_config),
                web.put("/v1/config", self._apply),
                web.post("/v1/config/diff", self._diff),
                web.get("/v1/keys", self._list_keys),
                web.post("/v1/keys", self._create_key),
                web.post("/v1/keys/{key}/withdraw", self._withdraw_key),
                web.post("/v1/drain", self._drain),
                web.post("/v1/targets/{target}/drain", self._drain_target),
                web.delete("/v1/targets/{target}/drain", self._undrain_target),
            ]
        )
        return app

    @web.middleware
    async def _check_request(
        self,
        request: web.Request,
        handler: typing.Callable[
            [web.Request], typing.Awaitable[web.StreamResponse]
        ],
    ) -> web.StreamResponse:
        """Check the operator key and turn errors into responses."""
        request_id = ids.RequestId(ids.random_id("op"))
        try:
            if request.path not in OPEN_PATHS:
                self._check_key(request)
            return await handler(request)
        except outcomes.RequestRefused as refused:
            return _error_response(refused.refusal, request_id)
        except pydantic.ValidationError as error:
            return _error_response(
                _bad_request(_first_problem(error)), request_id
            )
        except orjson.JSONDecodeError as error:
            return _error_response(
                _bad_request(f"body: is not JSON: {error}"), request_id
            )

    def _check_key(self, request: web.Request) -> None:
        authorization = request.headers.get("Authorization", "")
        expected = f"Bearer {self._fleet.settings.operator_key}"
        if not hmac.compare_digest(authorization.encode(), expected.encode()):
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.UNAUTHORIZED,
                    "the operator key is missing or wrong",
                    outcomes.Step.OPERATE,
                    not_run=True,
                )
            )

    async def _get_health(self, _: web.Request) -> web.Response:
        return _json_response({"instance": self._fleet.instance})

    async def _get_readiness(self, _: web.Request) -> web.Response:
        ready = self._fleet.is_ready()
        body = {
            "ready": ready,
            "fresh": self._fleet.is_fresh(),
            "draining": self._fleet.is_draining,
            "config": self._fleet.documents.version(fleets.CONFIG),
        }
        return _json_response(body, 200 if ready else 503)

    async def _get_status(self, _: web.Request) -> web.Response:
        return _json_response(self._status_report.make())

    async def _explain(self, request: web.Request) -> web.Response:
        return _json_response(
            await self._status_report.explain(request.match_info["model"])
        )

    async def _get_config(self, _: web.Request) -> web.Response:
        document = self._fleet.documents.get(fleets.CONFIG)
        body = document.body["configuration"] if document else {}
        version = document.version if document else 0
        return _json_response({"version": version, "configuration": body})

    async def _diff(self, request: web.Request) -> web.Response:
        new = orjson.loads(await request.read())
        document = self._fleet.documents.get(fleets.CONFIG)
        old = document.body["configuration"] if document else {}
        lines = [str(difference) for difference in diffs.diff(old, new)]
        version = document.version if document else 0
        return _json_response({"version": version, "differences": lines})

    async def _apply(self, request: web.Request) -> web.Response:
        body = ApplyBody.model_validate_json(await request.read())
        loaded = folders.check_body(body.configuration, self._listed_keys())
        if loaded.configuration is None:
            text = "; ".join(problem.render() for problem in loaded.problems)
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.INVALID_CONFIGURATION,
                    text,
                    outcomes.Step.CONFIGURE,
                    not_run=True,
                )
            )
        tree = loaded.configuration.model_dump(mode="json")
        accepted = await self._changes.apply(
            tree,
            body.based_on,
            body.apply_id,
        )
        warnings = [warning.to_json() for warning in loaded.warnings]
        for warning in loaded.warnings:
            LOG.warning(
                "operator: configuration accepted with a warning",
                code=warning.code.value,
                field=warning.field,
                reason=warning.message,
            )
        return _json_response({**accepted, "warnings": warnings})

    def _listed_keys(self) -> list[plausibility.Key]:
        return [
            plausibility.Key(
                record.id, record.team, record.id in self._fleet.withdrawn
            )
            for record in self._fleet.keyring.records()
        ]

    async def _list_keys(self, _: web.Request) -> web.Response:
        keys = [
            {
                "id": record.id,
                "team": record.team,
                "label": record.label,
                "withdrawn": record.id in self._fleet.withdrawn,
            }
            for record in self._fleet.keyring.records()
        ]
        return _json_response({"keys": keys})

    async def _create_key(self, request: web.Request) -> web.Response:
        body = KeyBody.model_validate_json(await request.read())
        created = await self._changes.create_key(
            ids.TeamId(body.team),
            body.label,
        )
        return _json_response(created, 201)

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        key = ids.KeyId(request.match_info["key"])
        return _json_response(await self._changes.withdraw_key(key))

    async def _drain(self, _: web.Request) -> web.Response:
        LOG.info("operator: drain requested")
        self._begin_drain()
        return _json_response(
            {"instance": self._fleet.instance, "draining": True}
        )

    async def _drain_target(self, request: web.Request) -> web.Response:
        target = request.match_info["target"]
        return _json_response(await self._changes.drain_target(target, True))

    async def _undrain_target(self, request: web.Request) -> web.Response:
        target = request.match_info["target"]
        return _json_response(await self._changes.drain_target(target, False))


def _json_response(body: object, status_code: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(body),
        status=status_code,
        content_type="application/json",
    )


def _error_response(
    refusal: outcomes.Refusal,
    request_id: ids.RequestId,
) -> web.Response:
    body = {
        "error": {
            "code": refusal.code.value,
            "message": refusal.message,
            "not_run": refusal.not_run,
            "step": refusal.step.value,
            "peer": refusal.peer,
            "request_id": request_id,
        }
    }
    return _json_response(body, refusal.status)


def _bad_request(message: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Code.BAD_REQUEST,
        message,
        outcomes.Step.OPERATE,
        not_run=True,
    )


def _first_problem(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    field = ".".join(str(part) for part in first["loc"])
    return f"{field or 'body'}: {first['msg']}"
