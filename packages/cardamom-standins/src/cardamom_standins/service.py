"""A stand-in of a plain service that counts what it ran."""

import collections
import dataclasses
import hashlib

from aiohttp import web

from cardamom_standins import base

SECRET_MARK = "ck-"


@dataclasses.dataclass
class ServiceFaults(base.Faults):
    """The service's switches.

    crash_mid: part of the requests that are cut while they run.
    """

    crash_mid: float = 0.0


class ServiceStandin(base.Standin):
    """Answers any path with what it was asked."""

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
            web.route("*", "/{path:.*}", self._run),
        ]

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.requests += 1
        self.leaks += count_leaks(request, body)
        key = request.headers.get("Idempotency-Key", "")
        if key:
            self.runs_by_key[key] += 1
        if self.random.random() < self.faults.crash_mid:
            return self._cut(request)
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
    """Return 1 if anything in a request looks like a caller's key."""
    texts = [request.path_qs, *request.headers.values()]
    found = any(SECRET_MARK in text for text in texts)
    return int(found or SECRET_MARK.encode() in body)
