"""The transactional table that coordination parts build on.

``commit`` is linearizable.  ``read`` may return an older state.  Either may
fail with no answer; a commit that fails so may or may not have taken effect.
"""

import abc
import dataclasses
import enum
import typing

ABSENT = 0
ANY_VERSION = -1

Body = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Row:
    """One row: its version counts the writes to its key, from 1."""

    key: str
    version: int
    body: Body


class CommitState(enum.Enum):
    """How a commit ended."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class CommitResult:
    """The end of a commit, with the rows that differ from its conditions.

    A condition of ``ANY_VERSION`` always holds and always returns its row.
    """

    state: CommitState
    by_key: typing.Mapping[str, Row] = dataclasses.field(default_factory=dict)

    @property
    def committed(self) -> bool:
        """Tell whether the commit is known to have taken effect."""
        return self.state is CommitState.COMMITTED


class TableUnavailable(Exception):
    """Raised when a read got no answer."""


class Table(abc.ABC):
    """A table with multi-key compare-and-set."""

    @abc.abstractmethod
    async def read(self, keys: typing.Sequence[str]) -> dict[str, Row]:
        """Return the rows present among the keys; it may be an older state.

        Raises TableUnavailable.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str) -> dict[str, Row]:
        """Return the rows whose key starts with the prefix.

        Raises TableUnavailable.
        """

    @abc.abstractmethod
    async def commit(
        self,
        conditions: typing.Mapping[str, int],
        puts: typing.Mapping[str, Body],
        deletes: typing.Sequence[str] = (),
    ) -> CommitResult:
        """Write all puts and deletes if each key has its expected version.

        A condition of ``ABSENT`` expects no row.  With no puts and deletes
        it is a linearizable check of the condition keys.  Never raises for
        a lost answer: the result then is UNKNOWN.
        """

    async def read_latest(self, keys: typing.Sequence[str]) -> dict[str, Row]:
        """Return the latest committed rows among the keys.

        Raises TableUnavailable.
        """
        result = await self.commit({key: ANY_VERSION for key in keys}, {})
        if result.state is CommitState.UNKNOWN:
            raise TableUnavailable("table: no answer to a latest read")
        return dict(result.by_key)
