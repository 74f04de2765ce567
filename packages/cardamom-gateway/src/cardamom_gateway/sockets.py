"""Sockets that detect an unreachable peer."""

import socket
import typing

# Idle time before a keepalive probe, and between probes.
PROBE_INTERVAL_S = 1
# Number of unanswered probes after which a connection is closed.
MAX_UNANSWERED_PROBES = 2
# Time after which unacknowledged data closes a connection.
UNACKNOWLEDGED_TIMEOUT_MS = 900
# The same for targets, which may be silent for a second or two and go on.  It
# also ends keepalive probes, so it is longer than two probe intervals.
TARGET_UNACKNOWLEDGED_TIMEOUT_MS = 2_100


def open_keepalive_socket(address: typing.Any) -> socket.socket:
    """Return a socket whose connection fails within 3 s without a reply.

    ``address`` is an entry as ``getaddrinfo`` returns it.  A device between
    two ends may drop the state of a connection while new connections still
    work; only probes or a timeout detect this.
    """
    return _open_socket(address, UNACKNOWLEDGED_TIMEOUT_MS)


def open_target_socket(address: typing.Any) -> socket.socket:
    """Return a socket as above, for a target, which may be silent for 2 s."""
    return _open_socket(address, TARGET_UNACKNOWLEDGED_TIMEOUT_MS)


def _open_socket(
    address: typing.Any, unacknowledged_timeout_ms: int
) -> socket.socket:
    family, kind, protocol = address[:3]
    keepalive_socket = socket.socket(family=family, type=kind, proto=protocol)
    keepalive_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
        (socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms),
    ):
        keepalive_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return keepalive_socket
