"""A service whose replicas turn brittle, under reads and writes."""

import asyncio
import collections
import itertools
import random
import typing

from aiohttp import web

from tests.wire import standins

import scene as scenes

ZONES = ("lz-a", "lz-b", "lz-c")
REPLICAS = 9
SLOTS = 6
# How many requests wait at a replica; fewer while it is brittle.
QUEUE = 6
BRITTLE_QUEUE = 1
TOLERATED_REJECTIONS = 3
WORK_S = 0.25
DOWN_S = 4.5
CONTACT_MS = 3000
ALLOWED_FALLS = 2 + REPLICAS / 10


class BrittleService:
    """The service with its replicas, its load, and the falls that count.

    ``load`` is the part of what all replicas can run.  ``stopping`` are the
    machines that get no new connections, and ``disturbed`` the times from
    which and to which a machine was stopped or started.
    """

    def __init__(self, script: str, load: float) -> None:
        self.scene = scenes.Scene(script)
        self.stopping: set[str] = set()
        self.disturbed: list[tuple[str, int, int]] = []
        self._load = load
        self._is_brittle = False
        self._lets_fewer_wait = False
        self._slots: dict[str, asyncio.Semaphore] = {}
        self._held: collections.Counter[str] = collections.Counter()
        # The time and the sender of each rejection in this incarnation.
        self._rejected: collections.defaultdict[str, list[tuple[int, str]]] = (
            collections.defaultdict(list)
        )
        self._down: set[str] = set()
        self._falls: list[tuple[int, str, list[tuple[int, str]]]] = []
        self._broken_off = 0

    async def start(self) -> None:
        """Start the deployment, and its load."""
        self.scene.add_plain_replicas(REPLICAS, ZONES, self._behave)
        for replica in self.scene.replicas:
            self._begin(replica)
        configuration = scenes.configuration()
        configuration["services"][0]["connection_limit"] = 110
        await self.scene.start(configuration, ZONES)
        await asyncio.sleep(4)
        self.scene.run(self._send_requests())
        await asyncio.sleep(6)

    async def turn_brittle(self) -> None:
        """Say so in all answers, and let fewer wait after CONTACT_MS."""
        self._is_brittle = True
        self.scene.record.note("says it is brittle")
        await asyncio.sleep(CONTACT_MS / 1000)
        self._lets_fewer_wait = True
        self.scene.record.note("lets fewer wait")
        await asyncio.sleep(5)

    async def crash(self, replica: scenes.Replica) -> None:
        """Reset a replica's connections; it is back after some seconds."""
        self._down.add(replica.name)
        await replica.crash_with_reset(DOWN_S)
        self._begin(replica)
        self.scene.record.note("back", replica=replica.name)

    def is_broken(self) -> bool:
        """Print what was seen; return whether too many falls count."""
        counting = [
            name for _, name, rejected in self._falls if self._counts(rejected)
        ]
        statuses = collections.Counter(self.scene.status_by_attempt.values())
        print(
            f"{len(self._falls)} falls, {len(counting)} of them count, "
            f"{ALLOWED_FALLS:.1f} allowed: "
            f"{dict(collections.Counter(counting))}; {self._broken_off} "
            f"running requests broken off; answers by status {dict(statuses)}"
        )
        return len(counting) > ALLOWED_FALLS

    def _counts(self, rejected: list[tuple[int, str]]) -> bool:
        """Return whether most was sent by machines in touch."""
        in_touch = [
            at_ms
            for at_ms, machine in rejected
            if not any(
                machine == other and from_ms <= at_ms < to_ms + CONTACT_MS
                for other, from_ms, to_ms in self.disturbed
            )
        ]
        return 2 * len(in_touch) > len(rejected)

    def _begin(self, replica: scenes.Replica) -> None:
        """Begin an incarnation with all slots free."""
        self._slots[replica.name] = asyncio.Semaphore(SLOTS)
        self._held[replica.name] = 0
        self._rejected[replica.name] = []
        self._down.discard(replica.name)

    def _stated(self) -> dict[str, str]:
        """Return the header of all answers of a brittle replica."""
        if not self._is_brittle:
            return {}
        return {"Server-Brittle": str(TOLERATED_REJECTIONS)}

    async def _behave(
        self, replica: typing.Any, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer as a replica with slots and a short queue."""
        await request.read()
        name, slots = replica.name, self._slots[replica.name]
        queue = BRITTLE_QUEUE if self._lets_fewer_wait else QUEUE
        if self._held[name] >= SLOTS + queue:
            attempt = request.headers["Attempt-Id"]
            self._reject(replica, attempt)
            return web.Response(
                status=503,
                headers=self._stated()
                | {"Not-Executed": "1", "Attempt-Id": attempt},
            )
        self._held[name] += 1
        try:
            async with slots:
                await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        except asyncio.CancelledError:
            self._broken_off += name in self._down
            raise
        finally:
            if slots is self._slots[name]:
                self._held[name] -= 1
        return web.Response(
            text=name, headers=standins.signed(request) | self._stated()
        )

    def _reject(self, replica: scenes.Replica, attempt: str) -> None:
        """Count a rejection; too many in a second let the replica fall."""
        now_ms, name = scenes.now_ms(), replica.name
        machine = self.scene.gateway_by_attempt[attempt].name
        last_second = [
            rejection
            for rejection in self._rejected[name]
            if now_ms - rejection[0] < 1000
        ] + [(now_ms, machine)]
        self._rejected[name] = last_second
        self.scene.record.note(
            "rejects",
            replica=name,
            machine=machine,
            in_a_second=len(last_second),
        )
        if (
            self._lets_fewer_wait
            and name not in self._down
            and len(last_second) > TOLERATED_REJECTIONS
        ):
            self._down.add(name)
            self._falls.append((now_ms, name, last_second))
            self.scene.record.note(
                "falls over", replica=name, counts=self._counts(last_second)
            )
            self.scene.run(self.crash(replica))

    async def _send_requests(self) -> None:
        """Send requests to all machines, each with a path of its own."""
        rate_per_s = self._load * REPLICAS * SLOTS / WORK_S
        for number in itertools.count():
            kind = random.choice(["write", "read"])
            gateways = [
                gateway
                for gateway in self.scene.gateways
                if gateway.name not in self.stopping
            ]
            self.scene.run(
                self.scene.send(
                    random.choice(gateways),
                    f"/{kind}/{number}",
                    b"order" if kind == "write" else b"",
                    deadline_ms=1500,
                )
            )
            await asyncio.sleep(random.expovariate(rate_per_s))
