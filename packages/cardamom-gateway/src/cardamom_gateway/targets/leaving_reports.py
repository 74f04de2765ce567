"""Reports of leaving targets, for instances that do not reach the store.

All instances that reach the store see a leaving target within the same
moment.  Each waits for a random time and reports only what fewer than
``ENOUGH_REPORTS`` others have reported by then, as in the suppression of
repair requests of Scalable Reliable Multicast (Floyd et al., 1997).
"""

import asyncio
import random
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids

from cardamom_gateway.fleet import peers
from cardamom_gateway import model
from cardamom_gateway.targets import removed_targets
from cardamom_gateway.targets import target_registry

MS_PER_S = 1000
MAX_DELAY_MS = 100
ENOUGH_REPORTS = 2  # one reporter may be cut off from some instances
REMEMBERED_MS = 10_000

Entry = tuple[ids.TargetId, int, int]


class LeavingReports:
    """Sends and receives reports of leaving targets.

    ``base_update`` returns the fields that every message carries.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        targets: target_registry.TargetRegistry,
        link: peers.PeerLink,
        base_update: typing.Callable[[], peers.StateUpdate],
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._link = link
        self._base_update = base_update
        self._pending: list[Entry] = []
        self._received: dict[Entry, tuple[int, int]] = {}

    def report(self, target: model.Target) -> None:
        """Report a target that leaves, or was removed, after a random time."""
        if not self._pending:
            asyncio.get_running_loop().call_later(
                random.uniform(0, MAX_DELAY_MS) / MS_PER_S, self.send_pending
            )
        self._pending.append(
            (target.id, target.started_ms, target.entry_sequence)
        )

    def send_pending(self) -> None:
        """Send the pending reports that others have not sent often enough."""
        entries = [
            entry
            for entry in self._pending
            if self._received.get(entry, (0, 0))[0] < ENOUGH_REPORTS
        ]
        self._pending.clear()
        if entries:
            self._link.broadcast(self._base_update() | {"g": entries})

    def export_removed(self) -> list[Entry]:
        """Return the removed targets that a late write may bring back."""
        removed = self._targets.removed.position_by_id(
            removed_targets.LATE_WRITE_MS
        )
        return [
            (target_id, last.started_ms, last.entry_sequence)
            for target_id, last in removed.items()
        ]

    def receive(self, update: peers.StateUpdate) -> None:
        """Apply the reports of a peer's message.

        Raises IndexError, TypeError or ValueError if they are malformed.
        """
        now_ms = self._clock.now_ms()
        for target_id, started_ms, entry_sequence in update.get("g", ()):
            entry = (ids.TargetId(target_id), started_ms, entry_sequence)
            count, _ = self._received.get(entry, (0, 0))
            self._received[entry] = (count + 1, now_ms)
            self._targets.mark_leaving(*entry)
        self._received = {
            entry: (count, at_ms)
            for entry, (count, at_ms) in self._received.items()
            if now_ms - at_ms <= REMEMBERED_MS
        }
