"""Chooses the instance of a data centre that reads the store for the others.

Calls to the store are charged for, so one instance of each data centre follows
the store's changes and passes them on.  A reader reports itself every
``REPORT_PERIOD_MS``; when no reader is heard, the others take over in the
order of rendezvous hashing, one ``STEP_MS`` after the other.  Two readers at
once cost calls, but do no harm.
"""

import dataclasses
import random
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import rendezvous

REPORT_PERIOD_MS = 400
SILENCE_MS = 1_200  # three reports of a reader
STEP_MS = 150
# Each instance asks the store itself within it if a peer has lost the store.
MAX_LOSS_DELAY_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Candidate:
    """What an instance of the same data centre last said of itself.

    ``has_store`` is whether the store answers it, or a reader that it hears;
    ``age_ms`` is the time since it said so.
    """

    id: ids.InstanceId
    is_reader: bool
    has_store: bool
    is_stopping: bool
    age_ms: int


class ReaderElection:
    """Decides whether this instance reads the store."""

    def __init__(
        self,
        instance: ids.InstanceId,
        data_centre: ids.DataCentreId,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._key = f"store-reader/{data_centre}"
        self._clock = clock
        self._reader_heard_ms: int = clock.now_ms()
        self._loss_delay_ms = random.uniform(0, MAX_LOSS_DELAY_MS)
        self.is_reading = False

    def update(
        self,
        candidates: typing.Sequence[Candidate],
        has_store: bool,
        is_stopping: bool,
    ) -> bool:
        """Return whether this instance is to read now.

        ``has_store`` is whether the store answers this instance.
        """
        now_ms = self._clock.now_ms()
        readers = [
            candidate
            for candidate in candidates
            if candidate.is_reader
            and not candidate.is_stopping
            and candidate.age_ms <= SILENCE_MS
        ]
        if readers:
            age_ms = min(reader.age_ms for reader in readers)
            self._reader_heard_ms = now_ms - age_ms
            self._loss_delay_ms = random.uniform(0, MAX_LOSS_DELAY_MS)
        if self.is_reading:
            is_needed = not readers or (
                has_store
                and not is_stopping
                and self._rank([reader.id for reader in readers]) == 0
            )
            self.is_reading = is_needed
        elif not readers and not is_stopping:
            silent_ms = now_ms - self._reader_heard_ms
            self.is_reading = silent_ms >= self._delay_ms(candidates)
        return self.is_reading

    def _delay_ms(self, candidates: typing.Sequence[Candidate]) -> float:
        """Return the time without a reader after which to take over."""
        if any(not candidate.has_store for candidate in candidates):
            return self._loss_delay_ms
        others = [
            candidate.id
            for candidate in candidates
            if not candidate.is_stopping
        ]
        return SILENCE_MS + STEP_MS * self._rank(others)

    def _rank(self, others: typing.Sequence[ids.InstanceId]) -> int:
        """Return this instance's place among others, 0 for the first."""
        members = [*others, self._instance]
        order = rendezvous.owners(self._key, members, len(members))
        return order.index(self._instance)
