"""A request that crashes replicas isn't refused after a machine was lost."""

import asyncio
import itertools
import pathlib
import sys

from aiohttp import web

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit"))
import deployment  # noqa: E402

CONTACT_MS = 3_000
ALLOWED_RETRIES = 3
BACK_S = 3.0
POISON_PERIOD_S = 5.0
POISONS = 10
ZONES = ["lz-a", "lz-b"]


class Replica(deployment.Replica):
    """A replica that crashes when it begins to run the poison request."""

    scene: "Scene"

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request, or crash and come back after some seconds."""
        if request.path != "/write/poison":
            return await super().run(request)
        await request.read()
        attempt = request.headers["Attempt-Id"]
        self.scene.crashes.append((deployment.now_ms(), attempt))
        self.record.note(
            "crash",
            replica=self.name,
            attempt=attempt,
            running=len(self.running),
        )
        self.scene.in_background(self.scene.restart_replica(self))
        deployment.reset(request)
        return web.Response()


class Scene:
    """The deployment, with the crashes of its replicas."""

    def __init__(self) -> None:
        self.deployed = deployment.Deployment(
            pathlib.Path(__file__).parent, ZONES
        )
        self.record = self.deployed.record
        self.crashes: list[tuple[int, str]] = []
        self.sent_ms: dict[str, int] = {}
        self.lost = 0
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count()

    def in_background(self, work) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def new_replica(self) -> Replica:
        """Return a replica that is new in the deployment."""
        number = next(self._numbers)
        replica = Replica(
            f"p-{number}",
            "plain",
            ZONES[number % len(ZONES)],
            self.deployed.store,
            self.record,
            work_s=0.3,
        )
        replica.scene = self
        self.deployed.replicas.append(replica)
        return replica

    async def restart_replica(self, replica: Replica) -> None:
        """End a replica; another incarnation comes after some seconds."""
        self.deployed.replicas.remove(replica)
        await replica.close()
        await asyncio.sleep(BACK_S)
        await self.new_replica().start()
        self.deployed.store.remove("servers", replica.name)

    async def load(self) -> None:
        """Send ordinary writes to the machine that is never lost."""
        while True:
            self.in_background(self._write())
            await asyncio.sleep(0.03)

    async def _write(self) -> None:
        _, status, _ = await self.deployed.send(
            self.deployed.gateways[0], "/write/2f", deadline_ms=1500
        )
        self.lost += status == 502

    async def poison(self) -> None:
        """Send the poison request again and again to the same machine."""
        for _ in range(POISONS):
            sent_ms = deployment.now_ms()
            attempt, status, _ = await self.deployed.send(
                self.deployed.gateways[0],
                "/write/poison",
                body=b"poison",
                deadline_ms=1500,
            )
            self.sent_ms[attempt] = sent_ms
            self.record.note("poison", attempt=attempt, status=status)
            await asyncio.sleep(POISON_PERIOD_S)

    def retries(self) -> list[str]:
        """Return the retries that the rule counts."""
        if len(self.crashes) < 3:
            return []
        third_ms = self.crashes[2][0]
        return [
            attempt
            for _, attempt in self.crashes
            if self.sent_ms.get(attempt, 0) > third_ms + CONTACT_MS
        ]


async def case(has_trouble: bool) -> bool:
    """Return whether the rule was broken."""
    scene = Scene()
    for _ in range(5):
        scene.new_replica()
    try:
        await scene.deployed.start(deployment.configuration())
        clients = asyncio.create_task(scene.load())
        await asyncio.sleep(8)
        if has_trouble:
            machine = scene.deployed.gateways[1]
            scene.record.note("lost-for-good", gateway=machine.name)
            await machine.end()
        await asyncio.sleep(8)
        await scene.poison()
        clients.cancel()
        await asyncio.gather(clients, return_exceptions=True)
        await asyncio.sleep(1.6)
        found = scene.retries()
        for attempt in found:
            scene.record.note("counted", attempt=attempt)
        print(
            f"{len(scene.crashes)} crashes, {len(found)} retries of which "
            f"count, {ALLOWED_RETRIES} allowed; {scene.lost} other writes "
            "were broken off"
        )
        return len(found) > ALLOWED_RETRIES
    finally:
        await scene.deployed.close()


deployment.main(case)
