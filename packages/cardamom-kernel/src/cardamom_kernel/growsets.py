"""A grow-only set whose copies can be merged in any order.

It suits facts that are never revoked, such as withdrawals of keys.  The
structure is the G-Set of Shapiro et al., "Conflict-free Replicated Data
Types", 2011.
"""

import hashlib
import typing


class GrowSet:
    """A set of strings that only grows, with a durability mark for each.

    A member is durable once the caller has stored it safely.
    """

    def __init__(self) -> None:
        self._members: set[str] = set()
        self._durable: set[str] = set()
        self._digest = _digest(())

    def __contains__(self, member: object) -> bool:
        return member in self._members

    def __len__(self) -> int:
        return len(self._members)

    @property
    def digest(self) -> str:
        """Return a digest, in hex, that is equal for equal sets."""
        return self._digest

    def members(self) -> list[str]:
        """Return all members, sorted."""
        return sorted(self._members)

    def pending(self) -> list[str]:
        """Return the members not yet known to be durable, sorted."""
        return sorted(self._members - self._durable)

    def merge(
        self,
        members: typing.Iterable[str],
        durable: bool = False,
    ) -> list[str]:
        """Add members and return those that are new, sorted.

        With ``durable`` all the given members are marked as durable.
        """
        members = set(members)
        added = members - self._members
        if durable:
            self._durable |= members
        if added:
            self._members |= added
            self._digest = _digest(sorted(self._members))
        return sorted(added)


def _digest(members: typing.Iterable[str]) -> str:
    return hashlib.sha256("\n".join(members).encode()).hexdigest()[:16]
