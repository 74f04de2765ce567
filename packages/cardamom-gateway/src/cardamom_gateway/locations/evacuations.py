"""Which data centres are evacuated, so that their targets get no requests.

The operator writes one row of the store for each evacuated data centre and
removes it to end the evacuation.  Every instance follows the rows.  A store
that came back from an older copy may lack rows that the operator writes again
within seconds, so an evacuation that a full read of a later era lacks is kept
for RESTORE_GRACE_MS.
"""

import dataclasses
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids

# Operators write rows that an older copy lacks again within some seconds.
RESTORE_GRACE_MS = 10_000
# The only holders of a model may get requests for this part of the time that
# the operators allow; a load from a disk fits into it.
LAST_HOLDERS_FRACTION = 0.4
# Time for a request to reach its target, connecting and resending included.
TRANSIT_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Rows:
    """Data centres whose rows were read, or seen to change.

    ``is_evacuated_by_data_centre`` is in the order of the changes.  With
    ``is_full`` there are no other rows.  ``era`` is the store's.
    ``current_ms`` is when this instance's earlier knowledge was still current,
    so that changes are no older.
    """

    is_evacuated_by_data_centre: typing.Mapping[ids.DataCentreId, bool]
    is_full: bool
    era: int
    current_ms: int


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """An evacuation in force.

    Until ``last_holders_until_ms`` targets there may get requests whose model
    no other target holds.  At ``expires_ms`` it ends if its row has not been
    seen again.
    """

    since_ms: int
    last_holders_until_ms: int
    expires_ms: int = clocks.FOREVER_MS


@dataclasses.dataclass(frozen=True)
class Effects:
    """Data centres whose evacuations began, ended, or are kept for a while."""

    begun: tuple[ids.DataCentreId, ...] = ()
    ended: tuple[ids.DataCentreId, ...] = ()
    kept: tuple[ids.DataCentreId, ...] = ()


class Evacuations:
    """The evacuations in force, by data centre.

    ``ended_ms_by_data_centre`` has the time at which the latest evacuation of
    a data centre ended.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._era = 0
        self.by_data_centre: dict[ids.DataCentreId, Evacuation] = {}
        self.ended_ms_by_data_centre: dict[ids.DataCentreId, int] = {}

    def is_evacuated(self, data_centre: ids.DataCentreId) -> bool:
        """Return whether a data centre's targets may get no requests."""
        return data_centre in self.by_data_centre

    def is_closed(self, data_centre: ids.DataCentreId) -> bool:
        """Return whether no request at all may go to a data centre."""
        return self.is_evacuated(
            data_centre
        ) and not self.may_use_last_holders(data_centre)

    def may_use_last_holders(self, data_centre: ids.DataCentreId) -> bool:
        """Return whether an evacuated data centre may get some requests.

        These are requests whose model is held by no target elsewhere.
        """
        evacuation = self.by_data_centre.get(data_centre)
        return (
            evacuation is not None
            and self._clock.now_ms() < evacuation.last_holders_until_ms
        )

    def apply(self, rows: Rows, evacuation_ms: int) -> Effects:
        """Apply rows; ``evacuation_ms`` is the time that operators allow."""
        is_from_older_copy = rows.is_full and 0 < self._era < rows.era
        begun, ended, kept = [], [], []
        for data_centre, is_row in rows.is_evacuated_by_data_centre.items():
            if not is_row:
                ended += self._end(data_centre)
            elif self._begin(data_centre, rows, evacuation_ms):
                begun.append(data_centre)
        if rows.is_full:
            self._era = max(self._era, rows.era)
            for data_centre in set(self.by_data_centre) - set(
                rows.is_evacuated_by_data_centre
            ):
                if is_from_older_copy:
                    self._keep_for_a_while(data_centre)
                    kept.append(data_centre)
                elif not self._is_expiring(data_centre):
                    ended += self._end(data_centre)
        return Effects(tuple(begun), tuple(ended), tuple(kept))

    def _begin(
        self, data_centre: ids.DataCentreId, rows: Rows, evacuation_ms: int
    ) -> bool:
        """Begin or confirm an evacuation; return whether it is new."""
        known = self.by_data_centre.get(data_centre)
        if known is not None:
            self.by_data_centre[data_centre] = dataclasses.replace(
                known, expires_ms=clocks.FOREVER_MS
            )
            return False
        now_ms = self._clock.now_ms()
        last_holders_until_ms = min(
            now_ms + int(LAST_HOLDERS_FRACTION * evacuation_ms),
            rows.current_ms + evacuation_ms - TRANSIT_MS,
        )
        self.by_data_centre[data_centre] = Evacuation(
            now_ms, now_ms if rows.is_full else last_holders_until_ms
        )
        return True

    def _end(self, data_centre: ids.DataCentreId) -> list[ids.DataCentreId]:
        """End an evacuation; return the data centre if it was in force.

        An evacuation may begin and end between two reads of the store.
        """
        self.ended_ms_by_data_centre[data_centre] = self._clock.now_ms()
        known = self.by_data_centre.pop(data_centre, None)
        return [] if known is None else [data_centre]

    def _keep_for_a_while(self, data_centre: ids.DataCentreId) -> None:
        self.by_data_centre[data_centre] = dataclasses.replace(
            self.by_data_centre[data_centre],
            expires_ms=self._clock.now_ms() + RESTORE_GRACE_MS,
        )

    def _is_expiring(self, data_centre: ids.DataCentreId) -> bool:
        expires_ms = self.by_data_centre[data_centre].expires_ms
        return expires_ms != clocks.FOREVER_MS

    def end_expired(self) -> Effects:
        """End evacuations whose rows were not written again."""
        now_ms = self._clock.now_ms()
        expired = [
            data_centre
            for data_centre, evacuation in self.by_data_centre.items()
            if now_ms >= evacuation.expires_ms
        ]
        for data_centre in expired:
            self._end(data_centre)
        return Effects(ended=tuple(expired))
