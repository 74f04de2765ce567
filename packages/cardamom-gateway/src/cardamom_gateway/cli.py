"""Entry point that runs one gateway instance."""

import asyncio
import importlib
import signal
import sys

from cardamom_kernel import clocks

from cardamom_gateway import decision_log
from cardamom_gateway import gateway as gateway_module
from cardamom_gateway import interfaces
from cardamom_gateway import settings as settings_module

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def run(platform: str, module: str) -> int:
    """Run one gateway until SIGTERM or SIGINT and return the exit code.

    ``module`` is the module that registers the platform's adapter when it is
    imported; ``platform`` is the name under which it does.
    """
    importlib.import_module(module)
    adapter = gateway_module.open_platform(platform)
    try:
        settings = adapter.read_settings()
    except settings_module.SettingsError as error:
        print(f"cardamomd: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    clock = clocks.MonotonicClock()
    lines = decision_log.configure(clock, settings.instance)
    try:
        asyncio.run(_serve(adapter, settings, clock, lines))
    except OSError as error:
        print(f"cardamomd: cannot open a port: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_STOPPED


async def _serve(
    adapter: interfaces.Platform,
    settings: settings_module.GatewaySettings,
    clock: clocks.Clock,
    lines: decision_log.LineBuffer,
) -> None:
    flush_task = asyncio.create_task(decision_log.flush_forever(lines, clock))
    gateway = gateway_module.Gateway(adapter, settings, clock)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, gateway.begin_stop)
    loop.add_signal_handler(signal.SIGHUP, gateway.read_settings)
    await gateway.start()
    await gateway.stopped.wait()
    flush_task.cancel()
    await asyncio.gather(flush_task, return_exceptions=True)
