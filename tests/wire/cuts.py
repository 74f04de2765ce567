"""Links between gateways and targets, which can be cut and restored."""

import asyncio
import contextlib
import dataclasses
import enum
import socket
import typing

import aiohttp

from cardamom_gateway import model
from cardamom_wire import plugin
from tests.wire import scenarios
from tests.wire import standins
from tools import relay as relays

# Connections that fill the queue of a socket that accepts none.
QUEUED_CONNECTIONS = 4


class Cut(enum.Enum):
    """How a cut shows: by resets, by silence, or only to new connections."""

    RESET = "reset"
    HANG = "hang"
    NEW_REFUSED = "new_refused"


class Link(relays.Relay):
    """The connections of one gateway to one target."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._blocking: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"{standins.HOST}:{self.port}"

    async def cut(self, how: Cut) -> None:
        """Cut the link."""
        await self.stop_listening()
        # Otherwise the port could be taken for another connection.
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((standins.HOST, self.port))
        self._blocking.append(holder)
        if how is Cut.RESET:
            self.abort_connections()
        if how is Cut.HANG:
            self.set_mode(standins.HOST, relays.Mode.SILENT)
            self._fill_queue(holder)

    def _fill_queue(self, listener: socket.socket) -> None:
        """Let new connections hang, since none is accepted."""
        listener.listen(0)
        for _ in range(QUEUED_CONNECTIONS):
            queued = socket.socket()
            queued.setblocking(False)
            queued.connect_ex((standins.HOST, self.port))
            self._blocking.append(queued)

    async def restore(self) -> None:
        """End the cut."""
        for blocking in reversed(self._blocking):
            blocking.close()
        self._blocking.clear()
        self.set_mode(standins.HOST, relays.Mode.PASS)
        await self.stop_listening()
        await self.start()


class LinkCodec(plugin.ConsorcioCodec):
    """Replaces the addresses of targets by those of links."""

    def __init__(self) -> None:
        self.link_by_address: dict[str, Link] = {}

    def decode_target(self, key: str, value: bytes) -> model.Target:
        """Decode a target's entry; raises MalformedMessage."""
        target = super().decode_target(key, value)
        link = self.link_by_address.get(target.address)
        if link is None:
            return target
        return dataclasses.replace(target, address=link.address)


class LinkPlatform(plugin.ConsorcioPlatform):
    """The platform of one gateway, whose targets are behind links."""

    def __init__(self) -> None:
        self.codec = LinkCodec()


@dataclasses.dataclass
class LinkedDeployment:
    """A deployment whose gateways reach targets over links of their own."""

    deployment: standins.Deployment
    session: aiohttp.ClientSession
    codecs: list[LinkCodec]

    def links(self, gateway: int) -> list[Link]:
        """Return the links of a gateway."""
        return list(self.codecs[gateway].link_by_address.values())

    async def cut(self, gateways: typing.Iterable[int], how: Cut) -> None:
        """Cut gateways from all targets."""
        for link in self._links_of(gateways):
            await link.cut(how)

    async def restore(self, gateways: typing.Iterable[int]) -> None:
        """End the cuts of gateways."""
        for link in self._links_of(gateways):
            await link.restore()

    def _links_of(self, gateways: typing.Iterable[int]) -> list[Link]:
        return [link for number in gateways for link in self.links(number)]


LinkScenario = typing.Callable[
    [LinkedDeployment], typing.Coroutine[typing.Any, typing.Any, None]
]


def run_linked(scenario: LinkScenario, **sizes: int) -> None:
    """Run a scenario against gateways whose links to targets can be cut."""

    async def run() -> None:
        platforms: list[LinkPlatform] = []

        def open_platform() -> LinkPlatform:
            platforms.append(LinkPlatform())
            return platforms[-1]

        async with (
            standins.running_deployment(
                **sizes, open_platform=open_platform
            ) as deployment,
            aiohttp.ClientSession() as session,
        ):
            codecs = [platform.codec for platform in platforms]
            linked = LinkedDeployment(deployment, session, codecs)
            await _put_behind_links(linked)
            try:
                await scenario(linked)
            finally:
                for link in linked._links_of(range(len(codecs))):
                    await link.stop()

    asyncio.run(run())


async def _put_behind_links(linked: LinkedDeployment) -> None:
    """Start the links, and let the gateways learn of them."""
    deployment = linked.deployment
    for codec in linked.codecs:
        for replica in deployment.replicas:
            link = Link(standins.HOST, replica.port)
            await link.start()
            codec.link_by_address[replica.address] = link
    configuration = standins.configuration(8)
    configuration["tenants"][0]["rate_per_s"] = 0
    deployment.store.put("op", "config", configuration)
    for replica in deployment.replicas:
        deployment.register(replica)
    ports = {
        link.port
        for codec in linked.codecs
        for link in codec.link_by_address.values()
    }
    await standins.wait_until(
        lambda: all(
            int(record.target.address.rpartition(":")[2]) in ports
            for gateway in deployment.gateways
            for record in gateway.state.targets.by_id.values()
        )
    )


async def status_of(
    linked: LinkedDeployment,
    gateway: int,
    path: str,
    attempt: str,
    **overrides: str,
) -> int:
    """Return the status of a request, 0 for an incomplete answer."""
    with contextlib.suppress(aiohttp.ClientError):
        async with linked.session.post(
            linked.deployment.url(path, gateway),
            headers=scenarios.headers(attempt, **overrides),
            data=f"body of {attempt}",
        ) as answer:
            await answer.read()
            return answer.status
    return 0
