"""Brittle replicas fall over while machines are restarted in turn."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit-2"))
import scene as scenes  # noqa: E402

import brittle  # noqa: E402

LOAD = 0.95
GAP_S = 1.3
CALM_S = 22.0


async def restart(service: brittle.BrittleService, gateway) -> None:
    """Stop a machine as planned, and start it again."""
    note, from_ms = service.scene.record.note, scenes.now_ms()
    service.stopping.add(gateway.name)
    note("SIGTERM", machine=gateway.name)
    service.disturbed.append((gateway.name, from_ms, 1 << 60))
    gateway.send_signal(signal.SIGTERM)
    await gateway.process.wait()
    await gateway.start()
    await service.scene.wait_ready(gateway)
    note("ready again", machine=gateway.name)
    service.stopping.discard(gateway.name)
    service.disturbed[-1] = (gateway.name, from_ms, scenes.now_ms())


async def case(has_trouble: bool) -> bool:
    """Restart the machines in turn while the service is brittle."""
    service = brittle.BrittleService(__file__, LOAD)
    try:
        await service.start()
        await service.turn_brittle()
        for gateway in service.scene.gateways:
            if has_trouble:
                await restart(service, gateway)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(CALM_S)
        return service.is_broken()
    finally:
        await service.scene.close()


scenes.main(case)
