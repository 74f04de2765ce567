"""The gateway's settings, all checked before the gateway starts."""

import dataclasses
import ipaddress
import typing

from cardamom_kernel import ids

MAX_PORT = 65_535


class SettingsError(ValueError):
    """Raised for settings that cannot be used; names file and field."""


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form HOST:PORT."""
        return f"{self.host}:{self.port}"


def parse_address(value: str) -> Address:
    """Return the address in a text of the form IPv4:PORT.

    Raises ValueError for one that no connection can use.
    """
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"{value!r}: is not HOST:PORT")
    return checked_address(host, int(port))


def checked_address(host: str, port: int) -> Address:
    """Return an address; raises ValueError if no connection can use it."""
    ipaddress.IPv4Address(host)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    return Address(host, port)


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings that a gateway reads at its start.

    ``grace_ms`` is the longest duration of a planned shutdown.  ``lease_ms``
    is the shortest interval between orders of two lease holders, and
    ``is_first_start`` whether the whole deployment starts for the first time,
    so that the store's rows can't be missing any earlier ones.  The others
    are the limits of the retry budget (``retry_``), of the teams' rates
    (``rate_``) and of loads (``load_``), with their sliding windows.
    ``region_by_data_centre`` has the region of each data centre.  A cold
    target may get ``cold_overage`` times its rate and ``cold_tolerance`` more
    requests within a second.  ``evacuation_ms`` is the time from the
    acknowledgement of an evacuation until nothing more may reach its targets.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    callers: Address
    readiness: Address
    peers_host: str
    peers_port: int
    metrics_port: int
    store_address: str
    grace_ms: int
    lease_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_slack: int
    rate_window_ms: int
    rate_overage: float
    rate_tolerance: float
    load_window_ms: int
    load_overage: float
    is_first_start: bool = False
    region_by_data_centre: typing.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    cold_overage: float = 1.0
    cold_tolerance: float = 0.0
    evacuation_ms: int = 5_000


def find_errors(settings: GatewaySettings) -> typing.Iterator[str]:
    """Yield a message for each field with an invalid value."""
    for field in (
        "grace_ms",
        "lease_ms",
        "retry_window_ms",
        "rate_window_ms",
        "load_window_ms",
        "evacuation_ms",
    ):
        if getattr(settings, field) <= 0:
            yield f"{field}: {getattr(settings, field)} must be above 0"
    for field in (
        "retry_ratio",
        "retry_slack",
        "rate_overage",
        "cold_overage",
        "cold_tolerance",
    ):
        if getattr(settings, field) < 0:
            yield f"{field}: {getattr(settings, field)} must be 0 or above"
    if not settings.instance:
        yield "instance: is empty; set a unique name for this process"
    try:
        ipaddress.IPv4Address(settings.peers_host)
    except ValueError as error:
        yield f"peers_host: {error}"
    ports = (settings.peers_port, settings.metrics_port)
    if not all(1 <= port <= MAX_PORT for port in ports):
        yield f"ports: {ports} must be between 1 and {MAX_PORT}"
