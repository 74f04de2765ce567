"""A late heartbeat brings a replica back whose entry has been removed."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit-2"))
import scene as scenes  # noqa: E402

from aiohttp import web  # noqa: E402
from tests.wire import standins  # noqa: E402

ZONES = ("lz-a", "lz-b", "lz-c")
REPLICAS = 4
DRAIN_MS = 2000
# A write without an answer is done 1 to 6 s later.
LATE_S = 6.0
# From that write to the removal of the entry.
REMOVED_AFTER_S = 3.4
SERVES_ON_S = 6.0
WORK_S = 0.25
PERIOD_S = 0.02
ROUNDS = 3


class Case:
    """Replicas that leave without a report, under writes at all machines."""

    def __init__(self, has_trouble: bool) -> None:
        self.scene = scenes.Scene(__file__)
        self.has_trouble = has_trouble
        self.removed_ms: dict[str, int] = {}
        self.late: list[tuple[str, str, int]] = []
        self.broken_off: list[str] = []

    async def behave(self, replica, request):
        """Answer a write, and note one that comes too late."""
        attempt = request.headers["Attempt-Id"]
        removed_ms = self.removed_ms.get(replica.name)
        if removed_ms is not None:
            late_ms = scenes.now_ms() - removed_ms
            self.scene.record.note(
                "arrived",
                replica=replica.name,
                attempt=attempt,
                after_removal_ms=late_ms,
            )
            if late_ms > DRAIN_MS:
                self.late.append((replica.name, attempt, late_ms))
        try:
            await asyncio.sleep(WORK_S)
        except asyncio.CancelledError:
            self.broken_off.append(attempt)
            raise
        return web.Response(
            text=replica.name, headers=standins.signed(request)
        )

    async def leave(self, replica: scenes.Replica) -> None:
        """Remove a replica's entry, and let it serve on and exit."""
        scene = self.scene
        if self.has_trouble:
            scene.run(self.write_late(replica, replica.entry()))
        await asyncio.sleep(REMOVED_AFTER_S)
        replica.reports_to_store = False
        scene.store.remove("servers", replica.name)
        self.removed_ms[replica.name] = scenes.now_ms()
        scene.record.note("entry removed", replica=replica.name)
        await asyncio.sleep(SERVES_ON_S)
        scene.record.note("exits", replica=replica.name)
        await replica.shut()

    async def write_late(self, replica, entry) -> None:
        """Do a heartbeat's write that got no answer."""
        record = self.scene.record
        record.note(
            "heartbeat lost", replica=replica.name, sequence=entry["sequence"]
        )
        await asyncio.sleep(LATE_S)
        replica.report(entry)
        record.note(
            "heartbeat done", replica=replica.name, sequence=entry["sequence"]
        )


async def case(has_trouble: bool) -> bool:
    """Return whether a write reached a removed replica too late."""
    this = Case(has_trouble)
    scene = this.scene
    scene.add_plain_replicas(REPLICAS + ROUNDS, ZONES, this.behave)
    try:
        await scene.start(scenes.configuration(), ZONES)
        await asyncio.sleep(4)
        scene.run(scene.keep_writing(PERIOD_S))
        await asyncio.sleep(2)
        for replica in scene.replicas[:ROUNDS]:
            await this.leave(replica)
            await asyncio.sleep(2)
        statuses = [
            scene.status_by_attempt.get(attempt, 0)
            for _, attempt, _ in this.late
        ]
        per_replica = collections.Counter(name for name, _, _ in this.late)
        print(
            f"{len(this.late)} writes reached removed replicas later than "
            f"{DRAIN_MS} ms after the removal: {dict(per_replica)}; answers "
            f"by status: {dict(collections.Counter(statuses))}; "
            f"{len(this.broken_off)} were broken off"
        )
        return bool(this.late)
    finally:
        await scene.close()


scenes.main(case)
