"""Identifier types, one for each kind of object."""

import secrets
import typing

InstanceId = typing.NewType("InstanceId", str)
DataCentreId = typing.NewType("DataCentreId", str)
SeatId = typing.NewType("SeatId", str)
TeamId = typing.NewType("TeamId", str)
KeyId = typing.NewType("KeyId", str)
TargetId = typing.NewType("TargetId", str)
GroupId = typing.NewType("GroupId", str)
ModelId = typing.NewType("ModelId", str)
AdapterId = typing.NewType("AdapterId", str)
RouteId = typing.NewType("RouteId", str)
RequestId = typing.NewType("RequestId", str)
AttemptId = typing.NewType("AttemptId", str)
OrderId = typing.NewType("OrderId", str)

RANDOM_ID_BYTES = 12


def random_id(prefix: str) -> str:
    """Return the prefix, a hyphen and 24 random hex digits."""
    return f"{prefix}-{secrets.token_hex(RANDOM_ID_BYTES)}"
