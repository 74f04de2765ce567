"""Links of instances to replicas, which can be cut one instance at a time."""

import base64

from aiohttp import web
import orjson

from tests.wire import cuts
from tests.wire import standins


class StoreView(standins.StandIn):
    """The store as one instance sees it, with links in place of replicas."""

    def __init__(self, store: standins.StoreStandIn) -> None:
        super().__init__()
        self._store = store
        self._link_by_address: dict[str, cuts.Link] = {}
        self._how: cuts.Cut | None = None
        self._down: set[str] = set()

    async def add(self, replica: standins.ReplicaStandIn) -> None:
        """Start a link to a replica, cut if the others are."""
        link = cuts.Link(standins.HOST, replica.port)
        await link.start()
        self._link_by_address[replica.address] = link
        if self._how is not None:
            await link.cut(self._how)

    async def cut(self, how: cuts.Cut) -> None:
        """Cut all links."""
        self._how = how
        for address, link in list(self._link_by_address.items()):
            if address not in self._down:
                await link.cut(how)

    async def restore(self) -> None:
        """End the cut."""
        self._how = None
        for address, link in list(self._link_by_address.items()):
            if address not in self._down:
                await link.restore()

    async def set_down(self, address: str) -> None:
        """Let a link refuse connections, as a replica that is down does."""
        self._down.add(address)
        link = self._link_by_address[address]
        await link.restore()
        await link.cut(cuts.Cut.RESET)

    async def set_up(self, address: str) -> None:
        """Let a link accept connections again, unless it is cut."""
        self._down.discard(address)
        link = self._link_by_address[address]
        await link.restore()
        if self._how is not None:
            await link.cut(self._how)

    async def stop(self) -> None:
        """Close all links, and the view."""
        for link in self._link_by_address.values():
            await link.stop()
        await super().stop()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call as the store does."""
        answer = await self._store.handle(request)
        if isinstance(answer, web.Response) and isinstance(answer.body, bytes):
            answer.body = self._translate(answer.body)
        return answer

    def _translate(self, body: bytes) -> bytes:
        if b'"servers"' not in body:
            return body
        fields = orjson.loads(body)
        for row in fields.get("rows", []):
            if row["table"] == "servers" and "value" in row:
                row["value"] = self._translate_entry(row["value"])
        return orjson.dumps(fields)

    def _translate_entry(self, value: str) -> str:
        entry = orjson.loads(base64.b64decode(value))
        link = self._link_by_address.get(entry["address"])
        if link is not None:
            entry["address"] = link.address
        return base64.b64encode(orjson.dumps(entry)).decode()
