"""The transactional table on which the coordination modules build.

``commit`` is linearizable.  ``read`` and ``scan`` may return an older state.
Any of them may fail without a response; a commit that fails in this way may
or may not have taken effect.
"""

import abc
import dataclasses
import enum
import typing

ABSENT = 0  # the version of a key without a row
ANY_VERSION = -1  # as a condition: matches every version

Body = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, order=True)
class StoreVersion:
    """A version of a whole store, over its returns from older copies.

    ``number`` grows with each transaction.  A store that comes back from an
    older copy gives numbers out again, in the next ``era``.
    """

    era: int
    number: int


NO_VERSION = StoreVersion(0, 0)


@dataclasses.dataclass(frozen=True)
class Row:
    """One row; its version counts the writes to its key, from 1."""

    key: str
    version: int
    body: Body


class CommitState(enum.Enum):
    """How a commit ended.

    CONFLICT: a condition did not hold, and nothing was written.  UNKNOWN: no
    response arrived, and the writes may or may not have taken effect.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class CommitResult:
    """The result of a commit, with the rows that did not match a condition.

    The row of a key with the condition ``ANY_VERSION`` is always included.
    Keys without a row are left out.
    """

    state: CommitState
    by_key: typing.Mapping[str, Row] = dataclasses.field(default_factory=dict)

    @property
    def committed(self) -> bool:
        """Return whether the commit is known to have taken effect."""
        return self.state is CommitState.COMMITTED


class TableUnavailable(Exception):
    """Raised when a read got no response."""


class Table(abc.ABC):
    """A table with multi-key compare-and-set."""

    @abc.abstractmethod
    async def read(self, keys: typing.Sequence[str]) -> dict[str, Row]:
        """Return the rows present among the keys, maybe of an older state.

        Raises TableUnavailable.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str) -> dict[str, Row]:
        """Return the rows whose key starts with the prefix, by key.

        They may be of an older state.
        Raises TableUnavailable.
        """

    @abc.abstractmethod
    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, Body],
        deletes: typing.Sequence[str] = (),
    ) -> CommitResult:
        """Write all puts and deletes if every condition holds.

        A condition maps a key to its expected version; ``ABSENT`` expects no
        row.  Without puts and deletes this is a linearizable check of the
        conditions.  Never raises for a lost response: the state then is
        UNKNOWN.
        """

    async def read_latest(self, keys: typing.Sequence[str]) -> dict[str, Row]:
        """Return the latest committed rows among the keys, by key.

        Raises TableUnavailable.
        """
        result = await self.commit({key: ANY_VERSION for key in keys}, {})
        if result.state is CommitState.UNKNOWN:
            raise TableUnavailable("table: no response to a linearizable read")
        return dict(result.by_key)
