"""Brittle replicas fall over each time that they come back."""

import asyncio
import collections
import itertools
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit-2"))
import scene as scenes  # noqa: E402

from aiohttp import web  # noqa: E402
from tests.wire import standins  # noqa: E402

ZONES = ("lz-a", "lz-b", "lz-c")
REPLICAS = 9
SLOTS = 6
# How many requests wait at a replica; fewer while it is brittle.
QUEUE = 6
BRITTLE_QUEUE = 1
TOLERATED_REJECTIONS = 3
WORK_S = 0.25
LOAD = 0.9  # of what all replicas can run
CRASHED = 2
DOWN_S = 4.5
CONTACT_S = 3.0
BRITTLE_S = 45.0
ALLOWED_FALLS = 2 + REPLICAS / 10


class Case:
    """A service that turns brittle, under reads and writes."""

    def __init__(self, has_trouble: bool) -> None:
        self.scene = scenes.Scene(__file__)
        self.has_trouble = has_trouble
        self.is_brittle = False
        self.lets_fewer_wait = False
        self.slots: dict[str, asyncio.Semaphore] = {}
        self.held: collections.Counter[str] = collections.Counter()
        self.rejected_ms = collections.defaultdict(list)
        self.down: set[str] = set()
        self.falls: list[tuple[int, str]] = []
        self.broken_off = 0

    def begin(self, replica: scenes.Replica) -> None:
        """Begin an incarnation with all slots free."""
        self.slots[replica.name] = asyncio.Semaphore(SLOTS)
        self.held[replica.name] = 0
        self.rejected_ms[replica.name].clear()
        self.down.discard(replica.name)

    async def behave(self, replica, request):
        """Answer as a replica with slots and a short queue."""
        await request.read()
        name, slots = replica.name, self.slots[replica.name]
        queue = BRITTLE_QUEUE if self.lets_fewer_wait else QUEUE
        if self.held[name] >= SLOTS + queue:
            self.reject(replica)
            return web.Response(
                status=503,
                headers=self.stated()
                | {
                    "Not-Executed": "1",
                    "Attempt-Id": request.headers["Attempt-Id"],
                },
            )
        self.held[name] += 1
        try:
            async with slots:
                await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        except asyncio.CancelledError:
            self.broken_off += name in self.down
            raise
        finally:
            if slots is self.slots[name]:
                self.held[name] -= 1
        return web.Response(
            text=name, headers=standins.signed(request) | self.stated()
        )

    def stated(self) -> dict[str, str]:
        """Return the header of all answers of a brittle replica."""
        if not self.is_brittle:
            return {}
        return {"Server-Brittle": str(TOLERATED_REJECTIONS)}

    def reject(self, replica: scenes.Replica) -> None:
        """Count a rejection; too many in a second let the replica fall."""
        now_ms, name = scenes.now_ms(), replica.name
        rejected_ms = self.rejected_ms[name]
        rejected_ms.append(now_ms)
        last_second = [at_ms for at_ms in rejected_ms if now_ms - at_ms < 1000]
        self.scene.record.note(
            "rejects", replica=name, in_a_second=len(last_second)
        )
        if (
            self.lets_fewer_wait
            and name not in self.down
            and len(last_second) > TOLERATED_REJECTIONS
        ):
            self.down.add(name)
            self.falls.append((now_ms, name))
            self.scene.record.note("falls over", replica=name)
            self.scene.run(self.crash(replica))

    async def crash(self, replica: scenes.Replica) -> None:
        """Reset a replica's connections; it is back after some seconds."""
        self.down.add(replica.name)
        await replica.crash_with_reset(DOWN_S)
        self.begin(replica)
        self.scene.record.note("back", replica=replica.name)

    async def load(self) -> None:
        """Send requests to all machines, each with a path of its own."""
        rate_per_s = LOAD * REPLICAS * SLOTS / WORK_S
        for number in itertools.count():
            kind = random.choice(["write", "read"])
            self.scene.run(
                self.scene.send(
                    random.choice(self.scene.gateways),
                    f"/{kind}/{number}",
                    b"order" if kind == "write" else b"",
                    deadline_ms=1500,
                )
            )
            await asyncio.sleep(random.expovariate(rate_per_s))

    async def brittle_time(self) -> None:
        """Let the service be brittle; in between, two replicas crash."""
        note = self.scene.record.note
        self.is_brittle = True
        note("says it is brittle")
        await asyncio.sleep(CONTACT_S)
        self.lets_fewer_wait = True
        note("lets fewer wait")
        await asyncio.sleep(5)
        if self.has_trouble:
            for replica in self.scene.replicas[:CRASHED]:
                note("crashes", replica=replica.name)
                self.scene.run(self.crash(replica))
        await asyncio.sleep(BRITTLE_S - CONTACT_S - 5)


async def case(has_trouble: bool) -> bool:
    """Return whether the replicas fell over more often than allowed."""
    this = Case(has_trouble)
    scene = this.scene
    for number in range(REPLICAS):
        replica = scene.add_replica(
            f"i-{number}", "plain", ZONES[number % len(ZONES)]
        )
        replica.behaviour = this.behave
        this.begin(replica)
    configuration = standins.configuration()
    configuration["tenants"][0]["rate_per_s"] = 0
    configuration["services"][0]["connection_limit"] = 110
    try:
        await scene.start(configuration, ZONES)
        await asyncio.sleep(4)
        scene.run(this.load())
        await asyncio.sleep(6)
        before = collections.Counter(scene.status_by_attempt.values())
        await this.brittle_time()
        statuses = collections.Counter(scene.status_by_attempt.values())
        per_replica = collections.Counter(name for _, name in this.falls)
        print(
            f"{len(this.falls)} falls, {ALLOWED_FALLS:.1f} allowed: "
            f"{dict(per_replica)}; {this.broken_off} running requests broken "
            f"off; answers by status before {dict(before)}, in all "
            f"{dict(statuses)}"
        )
        return len(this.falls) > ALLOWED_FALLS
    finally:
        await scene.close()


scenes.main(case)
