"""The command line of cardamomd, which runs one instance."""

import asyncio
import enum
import signal
import sys
import typing

import structlog
import typer

from cardamom_daemon import app as app_module
from cardamom_daemon import settings as settings_module
from cardamom_kernel import telemetry

LOG = structlog.get_logger("cardamom.cli")


class Exit(enum.IntEnum):
    """The exit codes of cardamomd."""

    STOPPED = 0
    FAILED = 1
    BAD_SETTINGS = 2


app = typer.Typer(add_completion=False)


def _env(name: str) -> str:
    return f"CARDAMOM_{name}"


def _option(env: str, text: str) -> typing.Any:
    return typer.Option(envvar=_env(env), help=text)


@app.command()
def run(
    instance: typing.Annotated[str, _option("INSTANCE", "Unique name.")],
    data_centre: typing.Annotated[
        str, _option("DATA_CENTRE", "Data centre of this instance.")
    ],
    operator_key: typing.Annotated[
        str,
        _option("OPERATOR_KEY", "Secret that operators authenticate with."),
    ],
    fleet_secret: typing.Annotated[
        str, _option("FLEET_SECRET", "Secret that instances share.")
    ],
    table_url: typing.Annotated[
        str, _option("TABLE_URL", "Address of the transactional table.")
    ],
    list_url: typing.Annotated[
        str, _option("LIST_URL", "Address of the instance list.")
    ] = "",
    objects_url: typing.Annotated[
        str, _option("OBJECTS_URL", "Address of the object store.")
    ] = "",
    table_plugin: typing.Annotated[
        str, _option("TABLE_PLUGIN", "Plug-in for the table.")
    ] = "http",
    list_plugin: typing.Annotated[
        str, _option("LIST_PLUGIN", "Plug-in for the instance list.")
    ] = "http",
    objects_plugin: typing.Annotated[
        str, _option("OBJECTS_PLUGIN", "Plug-in for the object store.")
    ] = "http",
    engine_plugin: typing.Annotated[
        str, _option("ENGINE_PLUGIN", "Plug-in for engine control.")
    ] = "http",
    host: typing.Annotated[
        str, _option("HOST", "IP address to listen on.")
    ] = "127.0.0.1",
    peer_url: typing.Annotated[
        str, _option("PEER_URL", "URL for peers; default: host, port.")
    ] = "",
    source_address: typing.Annotated[
        str, _option("SOURCE_ADDRESS", "Source IP of outgoing connections.")
    ] = "",
    caller_port: typing.Annotated[
        int, _option("CALLER_PORT", "Port for callers.")
    ] = 8080,
    peer_port: typing.Annotated[
        int, _option("PEER_PORT", "Port for other instances.")
    ] = 8081,
    operator_port: typing.Annotated[
        int, _option("OPERATOR_PORT", "Port for operators.")
    ] = 8082,
    peer: typing.Annotated[
        list[str] | None,
        _option("PEERS", "Address of a peer to contact first; repeatable."),
    ] = None,
    statsd_host: typing.Annotated[
        str, _option("STATSD_HOST", "Host of statsd; empty for none.")
    ] = "",
    statsd_port: typing.Annotated[
        int, _option("STATSD_PORT", "Port of statsd.")
    ] = 8125,
    log_format: typing.Annotated[
        telemetry.LogFormat, _option("LOG_FORMAT", "Format of log lines.")
    ] = telemetry.LogFormat.JSON,
    log_level: typing.Annotated[
        str, _option("LOG_LEVEL", "debug, info, warning or error.")
    ] = "info",
    trace_export: typing.Annotated[
        telemetry.TraceExport,
        _option("TRACE_EXPORT", "Where to export spans."),
    ] = telemetry.TraceExport.NONE,
    trace_ratio: typing.Annotated[
        float,
        _option("TRACE_RATIO", "Fraction of new traces sampled, 0 to 1."),
    ] = 0.05,
    max_connections: typing.Annotated[
        int, _option("MAX_CONNECTIONS", "Limit of open caller connections.")
    ] = 4_000,
    max_header_bytes: typing.Annotated[
        int, _option("MAX_HEADER_BYTES", "Limit of one header line.")
    ] = 16_384,
    body_timeout_ms: typing.Annotated[
        int, _option("BODY_TIMEOUT_MS", "Time limit to receive a body.")
    ] = 20_000,
    write_timeout_ms: typing.Annotated[
        int,
        _option("WRITE_TIMEOUT_MS", "Time limit of one write to a caller."),
    ] = 30_000,
    drain_timeout_ms: typing.Annotated[
        int,
        _option("DRAIN_TIMEOUT_MS", "Longest wait for requests at a stop."),
    ] = 150_000,
    heartbeat_ms: typing.Annotated[
        int, _option("HEARTBEAT_MS", "Interval of heartbeats.")
    ] = 500,
    table_poll_ms: typing.Annotated[
        int, _option("TABLE_POLL_MS", "Interval of table reads.")
    ] = 500,
    freshness_ms: typing.Annotated[
        int, _option("FRESHNESS_MS", "Time until unconfirmed state is stale.")
    ] = 2_000,
) -> None:
    """Run one instance until SIGTERM or SIGINT, which start a drain.

    Exit codes: 0 after a planned stop, 1 after a failure, 2 for settings
    that cannot be used.
    """
    values = dict(locals())
    values["peers"] = tuple(values.pop("peer") or ())
    settings = settings_module.Settings(**values)
    problems = list(settings_module.find_errors(settings))
    for problem in problems:
        print(f"cardamomd: {problem}", file=sys.stderr)
    if problems:
        raise typer.Exit(Exit.BAD_SETTINGS)
    telemetry.configure_logs(log_format, log_level, instance)
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        print(f"cardamomd: cannot listen: {error}", file=sys.stderr)
        raise typer.Exit(Exit.FAILED) from error


async def _serve(settings: settings_module.Settings) -> None:
    instance = app_module.Instance(settings)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, instance.begin_drain)
    await instance.start()
    await instance.stopped.wait()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
