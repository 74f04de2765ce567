"""Peer links that are joined without a network, on a stepped clock."""

import asyncio
import dataclasses
import itertools
import typing

from cardamom_gateway.fleet import delays
from cardamom_gateway.fleet import peers
from cardamom_gateway import metrics
from cardamom_gateway import settings as settings_module
from cardamom_kernel import clocks
from cardamom_kernel import ids

DATA_CENTRES = ("bog-a", "bog-b", "bog-c")
NO_ADDRESS = settings_module.Address("", 0)
Address = tuple[str, int]


def make_settings(number: int) -> settings_module.GatewaySettings:
    """Return the settings of one instance."""
    return settings_module.GatewaySettings(
        instance=ids.InstanceId(f"frontend-{number}"),
        data_centre=ids.DataCentreId(DATA_CENTRES[number % 3]),
        callers=NO_ADDRESS,
        readiness=NO_ADDRESS,
        peers_host=f"10.1.0.{number}",
        peers_port=7_600,
        metrics_port=7_601,
        store_address="",
        grace_ms=8_000,
        lease_ms=3_000,
        retry_ratio=0.2,
        retry_window_ms=10_000,
        retry_slack=200,
        rate_window_ms=8_000,
        rate_overage=0.1,
        rate_tolerance=0.0,
        load_window_ms=5_000,
        load_overage=1.1,
    )


class SteppedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer.

    A busy machine thus doesn't delay timers against messages.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0

    def time(self) -> float:
        """Return the loop's own time in s."""
        return self._now_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0].when())
        super()._run_once()


def run_stepped(
    scenario: typing.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Run a scenario in an event loop with time of its own."""
    with asyncio.Runner(loop_factory=SteppedLoop) as runner:
        runner.run(scenario)


@dataclasses.dataclass
class Transport:
    """Delivers datagrams in the network, and counts their bytes."""

    network: "Network"
    sender: settings_module.GatewaySettings
    sent_bytes: int = 0

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram."""
        self.sent_bytes += len(data)
        self.network.queue.append((data, self.sender.peers_host, address[0]))

    def close(self) -> None:
        """Do nothing."""


class Network:
    """Links between instances; ``is_lost`` decides on each datagram."""

    def __init__(
        self,
        size: int,
        receive: typing.Callable[[int, str, peers.StateUpdate, int], None],
    ) -> None:
        self.clock = clocks.SteppedClock(100_000)
        self.queue: list[tuple[bytes, str, str]] = []
        self.is_lost: typing.Callable[[], bool] = lambda: False
        self.transports: list[Transport] = []
        self.link_by_host: dict[str, peers.PeerLink] = {}
        for number in range(size):
            self._add(number, receive)
        for link, other in itertools.permutations(self.links, 2):
            member = peers.own_member(other._settings, "1")
            link.member_by_id[member.id] = member
            link.peer_by_id[member.id] = peers.Peer(
                member, self.clock.now_ms(), {}
            )

    @property
    def links(self) -> list[peers.PeerLink]:
        """Return all links."""
        return list(self.link_by_host.values())

    def _add(
        self,
        number: int,
        receive: typing.Callable[[int, str, peers.StateUpdate, int], None],
    ) -> None:
        settings = make_settings(number)
        link = peers.PeerLink(
            settings,
            self.clock,
            "1",
            lambda audience: {"up": self.clock.now_ms()},
            lambda incarnation, update, age_ms: receive(
                number, incarnation, update, age_ms
            ),
            lambda: None,
            lambda: False,
            delays.DelayMonitor(self.clock, metrics.Metrics()),
        )
        transport = Transport(self, settings)
        link._transport = typing.cast(typing.Any, transport)
        self.transports.append(transport)
        self.link_by_host[settings.peers_host] = link

    def deliver(self) -> None:
        """Deliver all datagrams that are not lost, and those they cause."""
        while self.queue:
            data, sender, recipient = self.queue.pop(0)
            if not self.is_lost():
                link = self.link_by_host[recipient]
                link.datagram_received(data, (sender, 7_600))
