"""Relays requests of peers that can't reach a target themselves.

The peer has admitted the request and chosen the target; it also retries,
resumes streams, counts and gets permits.  Here the request is only sent on,
and the answer passed back as it comes.  A relayed request is never relayed
again.  A peer that is cut off from the store may not know that a target is
cold, so that a request without a permit gets one here.
"""

import dataclasses

import aiohttp
from aiohttp import web
import structlog

from cardamom_kernel import ids
from cardamom_platform import answer_bodies
from cardamom_platform import pools

from cardamom_gateway.requests import attempts
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import permit_client
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.relaying")

PATH_PREFIX = "/relay"
TARGET = "Relay-Target"
TARGET_STARTED_MS = "Relay-Target-Started-Ms"
NEEDS_NEW_CONNECTION = "Relay-New-Connection"
HAS_PERMIT = "Relay-Permit"
REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (TARGET, TARGET_STARTED_MS, NEEDS_NEW_CONNECTION, HAS_PERMIT)
)


class Relay:
    """Sends the requests of peers to targets; ``in_flight`` counts them."""

    def __init__(
        self,
        state: state_module.GatewayState,
        client: attempts.TargetClient,
        permits: permit_client.PermitClient,
    ) -> None:
        self._state = state
        self._client = client
        self._permits = permits
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the target's answer to a peer's request."""
        self.in_flight += 1
        try:
            return await self._handle(request)
        finally:
            self.in_flight -= 1

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        record = self._record(request)
        if record is None:
            return _not_connected("the target isn't known or is leaving")
        outgoing = await self._outgoing_request(request)
        if HAS_PERMIT not in request.headers and not (
            await self._may_send(record)
        ):
            return _not_connected("the target is cold, and no permit is left")
        try:
            response = await self._client.open(record.target.address, outgoing)
        except attempts.AttemptFailed as failure:
            if failure.kind is attempts.FailureKind.NOT_CONNECTED:
                record.record_connect_failure(self._state.clock.now_ms())
                return _not_connected(failure.reason)
            return _abort(request, record, failure.reason)
        self._client.note_head(record, response)
        async with response:
            try:
                return await self._pass_back(request, response)
            except attempts.TRANSFER_ERRORS as error:
                return _abort(request, record, pools.describe(error))

    def _record(
        self, request: web.BaseRequest
    ) -> target_records.TargetRecord | None:
        """Return the target of a request, None if it may not be used."""
        targets = self._state.targets
        target_id = ids.TargetId(request.headers.get(TARGET, ""))
        started_ms = request.headers.get(TARGET_STARTED_MS, "")
        record = targets.by_id.get(target_id)
        if (
            record is None
            or str(record.target.started_ms) != started_ms
            or not targets.accepts(record)
            or targets.is_evacuated(record.target)
        ):
            return None
        return record

    async def _may_send(self, record: target_records.TargetRecord) -> bool:
        """Get a permit for a target that is cold; return whether that worked.

        Stated limits are left to the peer, which has heard of them too.
        """
        now_ms = self._state.clock.now_ms()
        need = record.permit_need(now_ms)
        if need is None or need.cold is None:
            return True
        if record.permit_wait_ms(False, now_ms):
            return False
        need = dataclasses.replace(need, is_brittle=False)
        permit = await self._permits.acquire(
            record, is_urgent=False, remaining_ms=0, need=need
        )
        return permit is not None and self._state.targets.accepts(record)

    async def _outgoing_request(
        self, request: web.BaseRequest
    ) -> attempts.OutgoingRequest:
        chunks = [data async for data in request.content.iter_any()]
        return attempts.OutgoingRequest(
            method=request.method,
            raw_path=request.raw_path.removeprefix(PATH_PREFIX),
            # The peer has encoded them for the target.
            headers=[
                (name, value)
                for name, value in self._state.codec.answer_headers(
                    request.headers.items()
                )
                if name.lower() not in REQUEST_HEADERS
            ],
            body=b"".join(chunks),
            attempt="",
            needs_new_connection=NEEDS_NEW_CONNECTION in request.headers,
        )

    async def _pass_back(
        self, request: web.BaseRequest, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        connection_end = answer_bodies.connection_end(response)
        answer = web.StreamResponse(
            status=response.status, reason=response.reason
        )
        pairs = self._state.codec.answer_headers(response.headers.items())
        answer.headers.popall("Content-Type", None)
        for name, value in pairs:
            answer.headers.add(name, value)
        if response.status not in answer_bodies.STATUSES_WITHOUT_BODY:
            answer.enable_chunked_encoding()
        await answer.prepare(request)
        async for data in response.content.iter_any():
            await answer.write(data)
        await answer_bodies.wait_for_connection_end(connection_end)
        await answer.write_eof()
        return answer


def outgoing_through_relay(
    outgoing: attempts.OutgoingRequest,
    record: target_records.TargetRecord,
    has_permit: bool,
) -> attempts.OutgoingRequest:
    """Return a request in the form that is sent to a relay."""
    headers = [
        *outgoing.headers,
        (TARGET, record.target.id),
        (TARGET_STARTED_MS, str(record.target.started_ms)),
    ]
    if outgoing.needs_new_connection:
        headers.append((NEEDS_NEW_CONNECTION, "1"))
    if has_permit:
        headers.append((HAS_PERMIT, "1"))
    return dataclasses.replace(
        outgoing, raw_path=PATH_PREFIX + outgoing.raw_path, headers=headers
    )


def _not_connected(reason: str) -> web.Response:
    return web.Response(
        status=503,
        headers={attempts.RELAY_NOT_CONNECTED: "1"},
        text=reason,
    )


def _abort(
    request: web.BaseRequest,
    record: target_records.TargetRecord,
    reason: str,
) -> web.StreamResponse:
    """Break the peer's connection, as the target broke its own."""
    LOG.info("relaying: broken off", target=record.target.id, reason=reason)
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=502)
