"""Builds of earlier commits, and upgrades from them under load and faults."""

import asyncio
import io
import pathlib
import random
import subprocess
import tarfile

from tests.soak import ledger as ledgers
from tests.soak import processes

ROOT = pathlib.Path(__file__).parents[2]
FIRST_UPGRADE_S = 4.0
UPGRADE_PERIOD_S = 2.0
# Replacements that go back to the earlier build for a while.
BACK_FRACTION = 0.2
KILLED_FRACTION = 0.3


def prepare(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Build a commit by its own deploy files; return its packages' folder."""
    source = (folder / commit).resolve()
    if not source.exists():
        archive = subprocess.run(
            ["git", "archive", commit],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
            files.extractall(source, filter="data")
    subprocess.run(["sh", "deploy/build"], cwd=source, check=True)
    return source / "target" / "deps"


class Upgrade:
    """Replaces the instances' build, one after the other."""

    def __init__(
        self,
        instances: list[processes.Instance],
        earlier: pathlib.Path,
        ledger: ledgers.Ledger,
        rnd: random.Random,
    ) -> None:
        self._instances = instances
        self._earlier = earlier
        self._ledger = ledger
        self._random = rnd

    async def run(self) -> None:
        """Replace all instances in a random order, some of them twice."""
        await asyncio.sleep(FIRST_UPGRADE_S)
        order = self._random.sample(self._instances, len(self._instances))
        for instance in order:
            await self._replace(instance, None)
            if self._random.random() < BACK_FRACTION:
                await self._replace(instance, self._earlier)
                await self._replace(instance, None)

    async def _replace(
        self, instance: processes.Instance, packages: pathlib.Path | None
    ) -> None:
        """Let an instance start anew with a build, if no fault has it."""
        await asyncio.sleep(self._random.uniform(0, 2 * UPGRADE_PERIOD_S))
        instance.packages = packages
        async with instance.signals:
            self._ledger.note_event(f"{instance.name} gets {packages}")
            if self._random.random() < KILLED_FRACTION:
                instance.disturbance.begin()
                await instance.kill()
            else:
                await instance.terminate()
                instance.disturbance.begin()
            await instance.start()
            instance.disturbance.end(asyncio.get_running_loop().time())
