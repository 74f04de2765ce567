"""The operator and the replicas that come and go, with their checks."""

import asyncio
import collections
import itertools
import random
import typing

import aiohttp

from cardamom_wire import store as store_module
from tests.soak import callers
from tests.soak import ledger as ledgers
from tests.soak import needs as needs_module
from tests.soak import processes
from tests.wire import standins

CHANGE_PERIOD_S = 1.5
PROBE_PERIOD_S = 0.1
LEAVE_PERIOD_S = 3.0
SERVES_ON_S = 4.0
# From the removal of an entry to a late write of an earlier one, and how long
# that one stays.
LATE_WRITE_S = 1.0
LATE_ENTRY_S = 2.5
EVACUATION_PERIOD_S = 3.0
# Some evacuations end before the time that the operators allow.
EVACUATED_S = (2.0, 12.0)
SECOND_ZONE_FRACTION = 0.4
MAX_OFFSET_S = 2.0
# Leavings of which only the replica's answers tell.
UNREPORTED_FRACTION = 0.4
FLOOD_RATE = 1_000
FLOOD_BURST = 1_000


class Operator:
    """Changes the configuration and replaces replicas."""

    def __init__(
        self,
        instances: list[processes.Instance],
        store: standins.StoreStandIn,
        replicas: list[standins.ReplicaStandIn],
        ledger: ledgers.Ledger,
        rnd: random.Random,
        needs: needs_module.Needs,
    ) -> None:
        self._needs = needs
        self._instances = instances
        self._store = store
        self._replicas = replicas
        self._ledger = ledger
        self._random = rnd
        self._numbers = itertools.count(1)
        self._attempts = itertools.count(1)
        self._version = 7
        self._changed_s: dict[int, float] = {}
        self._keys: list[str] = []
        self._withdrawn_s: dict[str, float] = {}
        self._served: dict[tuple[str, int], int] = collections.defaultdict(int)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def change(self) -> None:
        """Add a route, and give out or withdraw a key."""
        self._version += 1
        if self._keys and self._random.random() < 0.5:
            key = self._keys.pop(0)
            self._withdrawn_s[key] = self._now_s()
        else:
            self._keys.append(f"key-{self._version}")
        configuration = standins.configuration(self._version)
        route = configuration["routes"][0]
        configuration["routes"] += [
            route | {"name": f"v{n}", "prefix": f"/v{n}/"}
            for n in range(8, self._version + 1)
        ]
        if self._ledger.has_cold_replicas:
            for service in configuration["services"]:
                service["cold_start_s"] = ledgers.COLD_S
                service["cold_per_s"] = ledgers.COLD_PER_S
        (team,) = configuration["tenants"]
        configuration["tenants"] = [
            team | {"rate_per_s": 0},
            team
            | {
                "name": "flood",
                "api_keys": [callers.FLOOD_KEY],
                "rate_per_s": FLOOD_RATE,
                "burst": FLOOD_BURST,
            },
            team | {"name": "temp", "api_keys": self._keys, "rate_per_s": 0},
        ]
        self._changed_s[self._version] = self._now_s()
        self._store.put("op", "config", configuration)

    async def run_changes(self, end_s: float) -> None:
        """Change the configuration until a time, if the store can."""
        while self._now_s() < end_s:
            if not (self._store.is_down or self._store.is_silent):
                self.change()
            await asyncio.sleep(self._random.uniform(0, 2 * CHANGE_PERIOD_S))

    async def run_probes(self, end_s: float) -> None:
        """Ask instances for the latest routes and with withdrawn keys."""
        timeout = aiohttp.ClientTimeout(1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._now_s() < end_s:
                await asyncio.sleep(PROBE_PERIOD_S)
                instance = self._random.choice(self._instances)
                if self._withdrawn_s and self._random.random() < 0.3:
                    await self._probe_key(session, instance)
                else:
                    await self._probe_route(session, instance)

    async def _probe_route(
        self, session: aiohttp.ClientSession, instance: processes.Instance
    ) -> None:
        version, incarnation = self._version, instance.incarnation
        started_s = self._now_s()
        status = await self._probe(session, instance, version, standins.KEY)
        process = (instance.name, incarnation)
        if status == 200 and instance.incarnation == incarnation:
            self._served[process] = max(self._served[process], version)
        if status != 404:
            return
        if self._served[process] >= version:
            self._ledger.violate(
                f"{instance.name}: configuration {version} is no longer in "
                "force"
            )
        if started_s - self._changed_s[
            version
        ] > ledgers.IN_FORCE_S and self._is_in_touch(
            instance, self._changed_s[version]
        ):
            self._ledger.violate(
                f"{instance.name}: configuration {version} isn't in force "
                f"{started_s - self._changed_s[version]:.2f} s after it came"
            )

    async def _probe_key(
        self, session: aiohttp.ClientSession, instance: processes.Instance
    ) -> None:
        key, withdrawn_s = self._random.choice(list(self._withdrawn_s.items()))
        is_due = self._now_s() - withdrawn_s > ledgers.KEY_S
        in_touch = self._is_in_touch(instance, withdrawn_s)
        status = await self._probe(session, instance, 8, key)
        if status == 200 and is_due and in_touch:
            self._ledger.violate(
                f"{instance.name}: key {key} works "
                f"{self._now_s() - withdrawn_s:.2f} s after its withdrawal"
            )

    def _is_in_touch(
        self, instance: processes.Instance, change_s: float
    ) -> bool:
        """Return whether nothing disturbed the spread of a change."""
        now_s = self._now_s()
        since_s = max(ledgers.CONTACT_S, now_s - change_s + ledgers.CONTACT_S)
        return instance.disturbance.is_calm(
            now_s, ledgers.CONTACT_S
        ) and self._ledger.store.is_calm(now_s, since_s)

    async def _probe(
        self,
        session: aiohttp.ClientSession,
        instance: processes.Instance,
        version: int,
        key: str,
    ) -> int:
        """Return the status of a request, 0 without an answer."""
        attempt = f"probe-{next(self._attempts)}"
        now_s = self._now_s()
        self._ledger.sent[attempt] = ledgers.Sent(
            instance.name,
            "read",
            now_s,
            instance.disturbance.is_calm(now_s),
            heeds_answers=not instance.is_earlier_build,
        )
        try:
            async with session.post(
                f"{instance.url}/v{version}/x",
                headers={
                    "Host": "ficu95.example",
                    "Attempt-Id": attempt,
                    "X-Api-Key": key,
                    "Deadline-Ms": "1000",
                },
            ) as answer:
                return answer.status
        except callers.CLIENT_ERRORS:
            return 0

    def _leave(self, leaving: standins.ReplicaStandIn) -> None:
        """Let a replica begin to leave, and mostly write so."""
        leaving.state = "draining"
        self._needs.leave(leaving)
        if self._random.random() < UNREPORTED_FRACTION:
            self._ledger.note_event(f"{leaving.name} leaves by its answers")
            return
        is_stable = self._ledger.store.is_calm(self._now_s())
        entry = self._needs.entry(leaving)
        self._store.put("servers", leaving.name, entry)
        self._ledger.note_event(f"{leaving.name} leaves, {is_stable=}")
        if is_stable:
            self._ledger.leaving_s[leaving.name] = self._now_s()

    async def run_replacements(
        self,
        end_s: float,
        start: typing.Callable[[str, str, str], typing.Awaitable[None]],
    ) -> None:
        """Let replicas leave, each after another one has come."""
        while self._now_s() < end_s:
            await asyncio.sleep(self._random.uniform(0, 2 * LEAVE_PERIOD_S))
            ready = [r for r in self._replicas if r.state == "ready"]
            leaving = self._random.choice(ready)
            if self._store.is_down or self._store.is_silent:
                continue
            name = f"r{next(self._numbers)}"
            await start(name, leaving.service, leaving.zone)
            late_entry = self._needs.entry(leaving)
            self._store.put(
                "servers", leaving.name, self._needs.entry(leaving)
            )
            self._leave(leaving)
            await asyncio.sleep(SERVES_ON_S)
            self._store.remove("servers", leaving.name)
            await self._write_late(leaving, late_entry)
            self._replicas.remove(leaving)
            self._ledger.targets.begin()
            for instance in self._instances:
                await instance.links.set_down(leaving.address)
            await leaving.stop()
            self._ledger.targets.end(self._now_s())

    async def _write_late(
        self, leaving: standins.ReplicaStandIn, entry: dict[str, typing.Any]
    ) -> None:
        """Let the store carry out an earlier write after the removal."""
        await asyncio.sleep(LATE_WRITE_S)
        self._store.put("servers", leaving.name, entry)
        self._ledger.note_event(f"late entry of {leaving.name}")
        await asyncio.sleep(LATE_ENTRY_S)
        self._store.remove("servers", leaving.name)

    async def run_evacuations(self, end_s: float) -> None:
        """Evacuate one data centre, or two at once, until a time."""
        while self._now_s() < end_s:
            await asyncio.sleep(
                self._random.uniform(0, 2 * EVACUATION_PERIOD_S)
            )
            is_second = self._random.random() < SECOND_ZONE_FRACTION
            zones = self._random.sample(processes.ZONES, 1 + is_second)
            await asyncio.gather(*(self._evacuate(z, end_s) for z in zones))

    async def _evacuate(self, zone: str, end_s: float) -> None:
        """Write the row of a data centre, and take it back by the end."""
        await asyncio.sleep(self._random.uniform(0, MAX_OFFSET_S))
        await self._wait_for_store()
        key = store_module.EVACUATION_PREFIX + zone
        self._store.put("op", key, {})
        self._ledger.begin_evacuation(zone, self._now_s())
        remaining_s = max(0.0, end_s - self._now_s())
        await asyncio.sleep(
            min(remaining_s, self._random.uniform(*EVACUATED_S))
        )
        await self._wait_for_store()
        self._ledger.end_evacuation(zone, self._now_s())
        self._store.remove("op", key)

    async def _wait_for_store(self) -> None:
        while self._store.is_down or self._store.is_silent:
            await asyncio.sleep(0.05)
