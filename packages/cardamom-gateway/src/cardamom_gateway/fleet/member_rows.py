"""The rows in which instances of the fleet register themselves."""

import typing

import orjson

from cardamom_kernel import ids
from cardamom_kernel import tables

from cardamom_gateway.fleet import peers
from cardamom_gateway import interfaces
from cardamom_gateway import settings

PREFIX = "instance/"


def encode(member: peers.Member) -> tables.Body:
    """Return the row of an instance."""
    return {
        "host": member.host,
        "port": member.port,
        "data_centre": member.data_centre,
        "incarnation": member.incarnation,
    }


def decode(name: str, value: bytes) -> peers.Member:
    """Return the instance of a row.

    Raises MalformedMessage for one that is cut, lacks a field of the right
    type, or has an address that no datagram reaches.
    """
    try:
        row = orjson.loads(value)
        host, port = _text(row, "host"), row["port"]
        data_centre = ids.DataCentreId(_text(row, "data_centre"))
        incarnation = _text(row, "incarnation")
        if type(port) is not int:
            raise TypeError("port is no number")
        settings.checked_address(host, port)
    except (ValueError, TypeError, KeyError) as error:
        raise interfaces.MalformedMessage(
            f"row of instance {name!r}: {error}"
        ) from error
    return peers.Member(
        ids.InstanceId(name), host, port, data_centre, incarnation
    )


def _text(row: typing.Any, field: str) -> str:
    value = row[field]
    if not isinstance(value, str):
        raise TypeError(f"{field} is no text")
    return value
