"""Rendezvous hashing (Thaler and Ravishankar, 1998).

Instances that agree on their members agree on the owners of a key, without
any exchange.  When a member joins or leaves, only its own keys move.
"""

import hashlib
import heapq
import typing

Member = typing.TypeVar("Member", bound=str)


def owners(
    key: str, members: typing.Iterable[Member], count: int = 1
) -> list[Member]:
    """Return the owners of a key, at most ``count``, the first one first."""
    return heapq.nlargest(
        count, members, key=lambda member: (_weight(key, member), member)
    )


def _weight(key: str, member: str) -> bytes:
    return hashlib.sha256(f"{key}\n{member}".encode()).digest()
