"""Brittle replicas fall over each time that they come back."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit-2"))
import scene as scenes  # noqa: E402

import brittle  # noqa: E402

LOAD = 0.9
CRASHED = 2
BRITTLE_S = 37.0


async def case(has_trouble: bool) -> bool:
    """Let two replicas crash while the service is brittle."""
    service = brittle.BrittleService(__file__, LOAD)
    scene = service.scene
    try:
        await service.start()
        await service.turn_brittle()
        if has_trouble:
            for replica in scene.replicas[:CRASHED]:
                scene.record.note("crashes", replica=replica.name)
                scene.run(service.crash(replica))
        await asyncio.sleep(BRITTLE_S)
        return service.is_broken()
    finally:
        await scene.close()


scenes.main(case)
