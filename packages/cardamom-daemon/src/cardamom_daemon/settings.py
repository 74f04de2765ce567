"""The daemon's settings, all checked before anything starts."""

import dataclasses
import ipaddress
import typing
import urllib.parse

from cardamom_kernel import telemetry

MIN_SECRET_LENGTH = 16


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of a process, from flags and environment variables."""

    instance: str
    data_centre: str
    operator_key: str
    fleet_secret: str
    table_url: str
    list_url: str = ""
    objects_url: str = ""
    table_plugin: str = "http"
    list_plugin: str = "http"
    objects_plugin: str = "http"
    engine_plugin: str = "http"
    host: str = "127.0.0.1"
    caller_port: int = 8080
    peer_port: int = 8081
    operator_port: int = 8082
    peer_url: str = ""
    source_address: str = ""
    peers: tuple[str, ...] = ()
    statsd_host: str = ""
    statsd_port: int = 8125
    log_format: telemetry.LogFormat = telemetry.LogFormat.JSON
    log_level: str = "info"
    trace_export: telemetry.TraceExport = telemetry.TraceExport.NONE
    trace_ratio: float = 0.05
    max_connections: int = 4_000
    max_header_bytes: int = 16_384
    body_timeout_ms: int = 20_000
    write_timeout_ms: int = 30_000
    drain_timeout_ms: int = 150_000
    heartbeat_ms: int = 500
    table_poll_ms: int = 500
    freshness_ms: int = 2_000

    @property
    def peer_address(self) -> str:
        """Return the address at which peers reach this instance."""
        return self.peer_url or f"http://{self.host}:{self.peer_port}"


def find_errors(settings: Settings) -> typing.Iterator[str]:
    """Yield one message for each error, with the flag and the remedy."""
    if not settings.instance:
        yield "--instance: is empty; give this process a unique name"
    if not settings.data_centre:
        yield "--data-centre: is empty; name the data centre"
    for flag, secret in (
        ("--operator-key", settings.operator_key),
        ("--fleet-secret", settings.fleet_secret),
    ):
        if len(secret) < MIN_SECRET_LENGTH:
            yield (
                f"{flag}: needs at least {MIN_SECRET_LENGTH} characters; "
                "set a longer one"
            )
    if (
        settings.operator_key
        and settings.operator_key == settings.fleet_secret
    ):
        yield "--operator-key: equals --fleet-secret; use two secrets"
    yield from _address_errors(settings)
    yield from _number_errors(settings)


def _address_errors(settings: Settings) -> typing.Iterator[str]:
    urls = [
        ("--table-url", settings.table_url, True),
        ("--list-url", settings.list_url, False),
        ("--objects-url", settings.objects_url, False),
        ("--peer-url", settings.peer_url, False),
        *(("--peer", peer, True) for peer in settings.peers),
    ]
    for flag, url, is_required in urls:
        parts = urllib.parse.urlsplit(url)
        if (url or is_required) and (
            parts.scheme != "http" or not parts.hostname
        ):
            yield f"{flag}: {url!r} is not an address like http://10.0.0.1:80"
    for flag, host in (
        ("--host", settings.host),
        ("--source-address", settings.source_address or settings.host),
    ):
        try:
            ipaddress.ip_address(host)
        except ValueError:
            yield f"{flag}: {host!r} is not an IP address"


def _number_errors(settings: Settings) -> typing.Iterator[str]:
    ports = {
        "--caller-port": settings.caller_port,
        "--peer-port": settings.peer_port,
        "--operator-port": settings.operator_port,
    }
    for flag, port in ports.items():
        if not 1 <= port <= 65_535:
            yield f"{flag}: {port} is not between 1 and 65535"
    if len(set(ports.values())) < len(ports):
        yield "--caller-port, --peer-port, --operator-port: must differ"
    if not 0.0 <= settings.trace_ratio <= 1.0:
        yield f"--trace-ratio: {settings.trace_ratio} is not between 0 and 1"
    if settings.freshness_ms < 3 * settings.heartbeat_ms:
        yield "--freshness-ms: must be at least three times --heartbeat-ms"
    if settings.freshness_ms < 2 * settings.table_poll_ms:
        yield "--freshness-ms: must be at least twice --table-poll-ms"
    for flag, value in (
        ("--max-connections", settings.max_connections),
        ("--max-header-bytes", settings.max_header_bytes),
        ("--body-timeout-ms", settings.body_timeout_ms),
        ("--write-timeout-ms", settings.write_timeout_ms),
        ("--drain-timeout-ms", settings.drain_timeout_ms),
        ("--heartbeat-ms", settings.heartbeat_ms),
        ("--table-poll-ms", settings.table_poll_ms),
    ):
        if value <= 0:
            yield f"{flag}: {value} is not above 0"
