"""Injects random pairs of faults and ends them after some time."""

import asyncio
import collections
import dataclasses
import random
import signal
import typing

import structlog

from tools import deployment as deployments
from tools import relay as relays

LOG = structlog.get_logger("soak")

Undo = typing.Callable[[], typing.Awaitable[None]]


@dataclasses.dataclass
class Testbed:
    """The deployment and the relays that faults are injected into."""

    deployment: deployments.Deployment
    table_relay: relays.Relay
    peer_relays: dict[str, relays.Relay]
    source_by_instance: dict[str, str]
    restart_instance: typing.Callable[[str], typing.Awaitable[None]]
    faulted: set[str] = dataclasses.field(default_factory=set)
    draining: set[str] = dataclasses.field(default_factory=set)


class Faults:
    """Injects faults and counts them by kind."""

    def __init__(self, testbed: Testbed, rnd: random.Random) -> None:
        self._testbed = testbed
        self._random = rnd
        self.count_by_kind: collections.Counter[str] = collections.Counter()
        self._inject_by_kind: dict[
            str, typing.Callable[[], typing.Awaitable[Undo]]
        ] = {
            "table down": self._standin_fault("table", down=True),
            "table slow": self._standin_fault("table", slow_ms=400),
            "table answers lost": self._standin_fault(
                "table", lose_answers=0.5
            ),
            "table reads stale": self._standin_fault("table", stale=True),
            "table connections silent": self._silence_table,
            "table cut from one instance": self._cut_table,
            "list down": self._standin_fault("list", down=True),
            "objects down": self._standin_fault("objects", down=True),
            "weight store slow": self._standin_fault("weights", slow_ms=1_500),
            "engine crash": self._engine_fault(crash=True),
            "engine slow": self._engine_fault(slow_ms=300),
            "engine connections silent": self._engine_fault(silence=True),
            "engine orders lost": self._engine_fault(lose_orders=0.7),
            "engine orders late": self._engine_fault(late_orders_ms=1_500),
            "engine answers short": self._engine_fault(short_answers=0.3),
            "engine answers crossed": self._engine_fault(crossed_answers=0.3),
            "engine stalls": self._engine_fault(stall=True),
            "engine events lost": self._engine_fault(lose_events=0.5),
            "service down": self._service_fault(down=True),
            "service cut mid-call": self._service_fault(crash_mid=0.5),
            "service answers lost": self._service_fault(lose_answers=0.5),
            "service connections silent": self._service_fault(silence=True),
            "instance killed": self._kill_instance,
            "instance drained": self._drain_instance,
            "instance paused": self._pause_instance,
            "instance cut from peers": self._cut_peers,
            "peer connections silent": self._silence_peers,
        }

    @property
    def kinds(self) -> list[str]:
        """Return all kinds of faults, sorted."""
        return sorted(self._inject_by_kind)

    async def inject_pair(self, duration_s: float) -> None:
        """Inject two random faults and end them after a duration."""
        kinds = self._random.sample(self.kinds, 2)
        undos: list[Undo] = []
        for kind in kinds:
            self.count_by_kind[kind] += 1
            LOG.info("soak: fault", kind=kind)
            undos.append(await self._inject_by_kind[kind]())
        await asyncio.sleep(duration_s)
        for undo in undos:
            await undo()

    def _standin_fault(
        self,
        standin: str,
        **switches: object,
    ) -> typing.Callable[[], typing.Awaitable[Undo]]:
        async def inject() -> Undo:
            return await self._set_switches(standin, switches)

        return inject

    async def _set_switches(
        self, standin: str, switches: dict[str, object]
    ) -> Undo:
        await self._testbed.deployment.set_faults(standin, **switches)
        reset_switches = {
            name: False if isinstance(value, bool) else 0
            for name, value in switches.items()
            if name not in ("crash", "silence")
        }

        async def undo() -> None:
            await self._testbed.deployment.set_faults(
                standin, **reset_switches
            )

        return undo

    def _engine_fault(
        self,
        **switches: object,
    ) -> typing.Callable[[], typing.Awaitable[Undo]]:
        async def inject() -> Undo:
            engines = sorted(self._testbed.deployment.configuration.engines())
            return await self._set_switches(
                self._random.choice(engines), switches
            )

        return inject

    def _service_fault(
        self,
        **switches: object,
    ) -> typing.Callable[[], typing.Awaitable[Undo]]:
        async def inject() -> Undo:
            services = sorted(
                self._testbed.deployment.configuration.services("app")
            )
            return await self._set_switches(
                self._random.choice(services), switches
            )

        return inject

    def _pick_instance(self) -> deployments.InstanceProcess | None:
        candidates = [
            instance
            for instance in self._testbed.deployment.instances.values()
            if instance.is_running
            and instance.name not in self._testbed.faulted
        ]
        return self._random.choice(candidates) if candidates else None

    async def _kill_instance(self) -> Undo:
        instance = self._pick_instance()
        if instance is None:
            return _no_undo
        self._testbed.faulted.add(instance.name)
        instance.kill()

        async def undo() -> None:
            await self._testbed.restart_instance(instance.name)
            self._testbed.faulted.discard(instance.name)

        return undo

    async def _drain_instance(self) -> Undo:
        instance = self._pick_instance()
        if instance is None:
            return _no_undo
        self._testbed.faulted.add(instance.name)
        self._testbed.draining.add(instance.name)
        instance.terminate()

        async def undo() -> None:
            await asyncio.to_thread(instance.popen.wait)
            self._testbed.draining.discard(instance.name)
            await self._testbed.restart_instance(instance.name)
            self._testbed.faulted.discard(instance.name)

        return undo

    async def _pause_instance(self) -> Undo:
        instance = self._pick_instance()
        if instance is None:
            return _no_undo
        self._testbed.faulted.add(instance.name)
        instance.popen.send_signal(signal.SIGSTOP)

        async def undo() -> None:
            instance.popen.send_signal(signal.SIGCONT)
            self._testbed.faulted.discard(instance.name)

        return undo

    async def _cut_table(self) -> Undo:
        source = self._random.choice(
            sorted(self._testbed.source_by_instance.values())
        )
        mode = self._random.choice([relays.Mode.REFUSE, relays.Mode.SILENT])
        self._testbed.table_relay.set_mode(source, mode)

        async def undo() -> None:
            self._testbed.table_relay.set_mode(source, relays.Mode.PASS)

        return undo

    async def _silence_table(self) -> Undo:
        self._testbed.table_relay.silence_open_connections()
        return _no_undo

    async def _silence_peers(self) -> Undo:
        for peer_relay in self._testbed.peer_relays.values():
            peer_relay.silence_open_connections()
        return _no_undo

    async def _cut_peers(self) -> Undo:
        """Cut an instance from all others in both directions."""
        name = self._random.choice(sorted(self._testbed.peer_relays))
        mode = self._random.choice([relays.Mode.REFUSE, relays.Mode.SILENT])
        self._set_peer_mode(name, mode)

        async def undo() -> None:
            self._set_peer_mode(name, relays.Mode.PASS)

        return undo

    def _set_peer_mode(self, name: str, mode: relays.Mode) -> None:
        sources = self._testbed.source_by_instance
        for other, peer_relay in self._testbed.peer_relays.items():
            if other == name:
                for source in sources.values():
                    peer_relay.set_mode(source, mode)
            else:
                peer_relay.set_mode(sources[name], mode)


async def _no_undo() -> None:
    """Do nothing, for a fault that needs no undo."""
