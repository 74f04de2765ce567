"""Random faults in random pairs, each ended after a while."""

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
class Rig:
    """What faults act upon."""

    deployment: deployments.Deployment
    table_relay: relays.Relay
    peer_relays: dict[str, relays.Relay]
    source_by_instance: dict[str, str]
    replace: typing.Callable[[str], typing.Awaitable[None]]
    disturbed: set[str] = dataclasses.field(default_factory=set)
    draining: set[str] = dataclasses.field(default_factory=set)


class Faults:
    """Injects faults by kind and counts them."""

    def __init__(self, rig: Rig, rnd: random.Random) -> None:
        self._rig = rig
        self._random = rnd
        self.count_by_kind: collections.Counter[str] = collections.Counter()
        self._kinds: dict[str, typing.Callable[[], typing.Awaitable[Undo]]] = {
            "table down": self._switch("table", down=True),
            "table slow": self._switch("table", slow_ms=400),
            "table answers lost": self._switch("table", lose_answers=0.5),
            "table reads stale": self._switch("table", stale=True),
            "table connections silent": self._table_silent,
            "table cut from one instance": self._table_cut,
            "list down": self._switch("list", down=True),
            "objects down": self._switch("objects", down=True),
            "weight store slow": self._switch("weights", slow_ms=1_500),
            "engine crash": self._engine(crash=True),
            "engine slow": self._engine(slow_ms=300),
            "engine connections silent": self._engine(silence=True),
            "engine orders lost": self._engine(lose_orders=0.7),
            "engine orders late": self._engine(late_orders_ms=1_500),
            "engine answers short": self._engine(short_answers=0.3),
            "engine answers crossed": self._engine(crossed_answers=0.3),
            "engine stalls": self._engine(stall=True),
            "engine events lost": self._engine(lose_events=0.5),
            "service down": self._service(down=True),
            "service cut mid-call": self._service(crash_mid=0.5),
            "service answers lost": self._service(lose_answers=0.5),
            "service connections silent": self._service(silence=True),
            "instance killed": self._instance_killed,
            "instance drained": self._instance_drained,
            "instance paused": self._instance_paused,
            "instance cut from peers": self._peers_cut,
            "peer connections silent": self._peers_silent,
        }

    @property
    def kinds(self) -> list[str]:
        """Return the names of all kinds."""
        return sorted(self._kinds)

    async def inject_pair(self, hold_s: float) -> None:
        """Inject two faults at once, hold them, and end them."""
        names = self._random.sample(self.kinds, 2)
        undos: list[Undo] = []
        for name in names:
            self.count_by_kind[name] += 1
            LOG.info("soak: fault", kind=name)
            undos.append(await self._kinds[name]())
        await asyncio.sleep(hold_s)
        for undo in undos:
            await undo()

    def _switch(
        self,
        standin: str,
        **switches: object,
    ) -> typing.Callable[[], typing.Awaitable[Undo]]:
        async def inject() -> Undo:
            return await self._set(standin, switches)

        return inject

    async def _set(self, standin: str, switches: dict[str, object]) -> Undo:
        await self._rig.deployment.set_faults(standin, **switches)
        off = {
            name: False if isinstance(value, bool) else 0
            for name, value in switches.items()
            if name not in ("crash", "silence")
        }

        async def undo() -> None:
            await self._rig.deployment.set_faults(standin, **off)

        return undo

    def _engine(
        self,
        **switches: object,
    ) -> typing.Callable[[], typing.Awaitable[Undo]]:
        async def inject() -> Undo:
            engines = sorted(self._rig.deployment.configuration.engines())
            return await self._set(self._random.choice(engines), switches)

        return inject

    def _service(
        self,
        **switches: object,
    ) -> typing.Callable[[], typing.Awaitable[Undo]]:
        async def inject() -> Undo:
            services = sorted(
                self._rig.deployment.configuration.services("app")
            )
            return await self._set(self._random.choice(services), switches)

        return inject

    def _pick(self) -> deployments.InstanceProc | None:
        free = [
            instance
            for instance in self._rig.deployment.instances.values()
            if instance.is_running and instance.name not in self._rig.disturbed
        ]
        return self._random.choice(free) if free else None

    async def _instance_killed(self) -> Undo:
        instance = self._pick()
        if instance is None:
            return _nothing
        self._rig.disturbed.add(instance.name)
        instance.kill()

        async def undo() -> None:
            await self._rig.replace(instance.name)
            self._rig.disturbed.discard(instance.name)

        return undo

    async def _instance_drained(self) -> Undo:
        instance = self._pick()
        if instance is None:
            return _nothing
        self._rig.disturbed.add(instance.name)
        self._rig.draining.add(instance.name)
        instance.terminate()

        async def undo() -> None:
            await asyncio.to_thread(instance.handle.wait)
            self._rig.draining.discard(instance.name)
            await self._rig.replace(instance.name)
            self._rig.disturbed.discard(instance.name)

        return undo

    async def _instance_paused(self) -> Undo:
        instance = self._pick()
        if instance is None:
            return _nothing
        self._rig.disturbed.add(instance.name)
        instance.handle.send_signal(signal.SIGSTOP)

        async def undo() -> None:
            instance.handle.send_signal(signal.SIGCONT)
            self._rig.disturbed.discard(instance.name)

        return undo

    async def _table_cut(self) -> Undo:
        source = self._random.choice(
            sorted(self._rig.source_by_instance.values())
        )
        mode = self._random.choice([relays.Mode.REFUSE, relays.Mode.SILENT])
        self._rig.table_relay.set_mode(source, mode)

        async def undo() -> None:
            self._rig.table_relay.set_mode(source, relays.Mode.PASS)

        return undo

    async def _table_silent(self) -> Undo:
        self._rig.table_relay.lose_track()
        return _nothing

    async def _peers_silent(self) -> Undo:
        for one in self._rig.peer_relays.values():
            one.lose_track()
        return _nothing

    async def _peers_cut(self) -> Undo:
        """Cut one instance from all others, both ways."""
        name = self._random.choice(sorted(self._rig.peer_relays))
        mode = self._random.choice([relays.Mode.REFUSE, relays.Mode.SILENT])
        self._cut(name, mode)

        async def undo() -> None:
            self._cut(name, relays.Mode.PASS)

        return undo

    def _cut(self, name: str, mode: relays.Mode) -> None:
        sources = self._rig.source_by_instance
        for other, one in self._rig.peer_relays.items():
            if other == name:
                for source in sources.values():
                    one.set_mode(source, mode)
            else:
                one.set_mode(sources[name], mode)


async def _nothing() -> None:
    """End a fault that ends by itself."""
