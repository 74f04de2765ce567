"""A stand-in for a service without models; it counts its requests."""

import collections
import dataclasses
import hashlib

from aiohttp import web

from cardamom_standins import base

KEY_PREFIX = "ck-"


@dataclasses.dataclass
class ServiceFaults(base.Faults):
    """The service's switches.

    crash_mid: fraction of the requests that are executed but whose
        connection is aborted before the answer.
    """

    crash_mid: float = 0.0


class ServiceStandin(base.Standin):
    """Answers any path with a description of the request."""

    faults: ServiceFaults

    def __init__(self, seed: int = 1, name: str = "service") -> None:
        super().__init__(seed)
        self._name = name
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.requests = 0
        self.leaks = 0

    def make_faults(self) -> ServiceFaults:
        """Return the switches, all off."""
        return ServiceFaults()

    def routes(self) -> list[web.RouteDef]:
        """Return the service's routes."""
        return [
            web.get("/service/v1/ledger", self._ledger),
            web.route("*", "/{path:.*}", self._handle),
        ]

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.requests += 1
        self.leaks += count_leaks(request, body)
        key = request.headers.get("Idempotency-Key", "")
        if key:
            self.runs_by_key[key] += 1
        if self.random.random() < self.faults.crash_mid:
            return self._abort_connection(request)
        return base.reply(
            {
                "service": self._name,
                "method": request.method,
                "path": request.path_qs,
                "body_sha256": hashlib.sha256(body).hexdigest(),
                "request_id": request.headers.get("X-Request-Id", ""),
                "traceparent": request.headers.get("traceparent", ""),
            }
        )

    async def _ledger(self, _: web.Request) -> web.Response:
        return base.reply(
            {
                "requests": self.requests,
                "runs_by_key": self.runs_by_key,
                "leaks": self.leaks,
            }
        )


def count_leaks(request: web.Request, body: bytes) -> int:
    """Return 1 if a request seems to contain a caller's key, else 0."""
    texts = [request.path_qs, *request.headers.values()]
    is_in_head = any(KEY_PREFIX in text for text in texts)
    return int(is_in_head or KEY_PREFIX.encode() in body)
