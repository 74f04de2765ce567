"""Targets that were removed lately, by which late entries are recognised.

The platform's store may carry out a write seconds after the call that got no
answer, so that the entry of a target is back after its removal.  A target
that lives on writes later entries.
"""

import dataclasses

from cardamom_kernel import clocks
from cardamom_kernel import ids

from cardamom_gateway import model

# Far longer than a write is delayed, or an older copy of the store is old.
RETENTION_MS = 60_000
# Most writes that the store carries out late are done within this time.  After
# it an earlier start is the statement of a corrected clock.
LATE_WRITE_MS = 10_000


@dataclasses.dataclass(frozen=True, order=True)
class EntryPosition:
    """The place of an entry among all that are written under one id."""

    started_ms: int
    entry_sequence: int


def position_of(target: model.Target) -> EntryPosition:
    """Return the position of a target's entry."""
    return EntryPosition(target.started_ms, target.entry_sequence)


class RemovedTargets:
    """The last entry of each target that was removed lately."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._removed_by_id: dict[ids.TargetId, tuple[int, EntryPosition]] = {}

    def note(self, target_id: ids.TargetId, last: EntryPosition) -> None:
        """Record that a target was removed, and its last entry."""
        known = self.position_by_id()
        last = max(last, known.get(target_id, last))
        self._removed_by_id = {
            other: self._removed_by_id[other] for other in known
        } | {target_id: (self._clock.now_ms(), last)}

    def is_late(self, target: model.Target) -> bool:
        """Return whether an entry was written before its target's removal."""
        last = self.position_by_id().get(target.id)
        if last is None or position_of(target) > last:
            return False
        return (
            last.started_ms == target.started_ms
            or target.id in self.position_by_id(LATE_WRITE_MS)
        )

    def position_by_id(
        self, max_age_ms: int = RETENTION_MS
    ) -> dict[ids.TargetId, EntryPosition]:
        """Return the last entries of targets that were removed lately.

        ``max_age_ms`` is the longest time since their removal.
        """
        horizon_ms = self._clock.now_ms() - max_age_ms
        return {
            target_id: last
            for target_id, (at_ms, last) in self._removed_by_id.items()
            if at_ms >= horizon_ms
        }
