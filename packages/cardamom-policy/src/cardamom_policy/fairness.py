"""Weighted fair queueing in tokens: teams first, then a team's models.

Start-time fair queueing after Goyal, Vin and Cheng, 1996, at two levels.  An
item that cannot run now is skipped, so a model that waits for a target does
not block other models.  Entries that can still start on time go before late
ones, so that a backlog does not make all entries late.
"""

import collections
import dataclasses
import itertools
import typing

from cardamom_kernel import ids

Item = typing.TypeVar("Item")


@dataclasses.dataclass
class Entry(typing.Generic[Item]):
    """A queued item with its cost in tokens.

    It is late from ``on_time_ms`` and expires at ``deadline_ms``.  Both are
    points in time of the clock that gives ``now_ms``.
    """

    team: ids.TeamId
    model: str
    cost: float
    on_time_ms: int
    deadline_ms: int
    item: Item
    cancelled: bool = False


Entries = collections.deque[Entry[Item]]


class _Flow(typing.Generic[Item]):
    """One model's entries within a team, in order of arrival."""

    def __init__(self, start: float) -> None:
        self.virtual_time = start
        self.on_time: Entries[Item] = collections.deque()
        self.late: Entries[Item] = collections.deque()

    def __len__(self) -> int:
        return len(self.on_time) + len(self.late)

    def __iter__(self) -> typing.Iterator[Entry[Item]]:
        return itertools.chain(self.late, self.on_time)

    def move_late(self, now_ms: int) -> None:
        """Move the entries that have become late."""
        while self.on_time and self.on_time[0].on_time_ms <= now_ms:
            self.late.append(self.on_time.popleft())

    def remove_expired(self, now_ms: int) -> list[Entry[Item]]:
        """Remove and return the entries whose deadline has passed."""
        expired = [entry for entry in self if entry.deadline_ms <= now_ms]
        if expired:
            self.late = _without_expired(self.late, now_ms)
            self.on_time = _without_expired(self.on_time, now_ms)
        return expired


class _TeamQueue(typing.Generic[Item]):
    """One team's flows, one for each model with queued entries."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.model_virtual_time = 0.0
        self.by_model: dict[str, _Flow[Item]] = {}

    def flows_by_service(self) -> list[tuple[str, _Flow[Item]]]:
        """Return the models and their flows, the least served first."""
        return sorted(
            self.by_model.items(), key=lambda pair: pair[1].virtual_time
        )


class FairQueue(typing.Generic[Item]):
    """Queued entries of all teams, taken in the order of weighted service."""

    def __init__(self) -> None:
        self._by_team: dict[ids.TeamId, _TeamQueue[Item]] = {}
        self._weight_by_team: dict[ids.TeamId, float] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weights(
        self,
        weight_by_team: typing.Mapping[ids.TeamId, float],
    ) -> None:
        """Set the weights; a team without one has weight 1."""
        self._weight_by_team = dict(weight_by_team)

    def push(self, entry: Entry[Item]) -> None:
        """Queue an entry after the team's other entries for the model."""
        queue = self._by_team.setdefault(entry.team, _TeamQueue())
        if not queue.by_model:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        flow = queue.by_model.get(entry.model)
        if flow is None:
            flow = _Flow(queue.model_virtual_time)
            queue.by_model[entry.model] = flow
        flow.on_time.append(entry)
        self._length += 1

    def pop(
        self,
        can_run: typing.Callable[[Entry[Item]], bool],
        now_ms: int,
    ) -> Entry[Item] | None:
        """Remove and return the next entry that can run, or None.

        ``can_run`` is called at most once for each model of each team, twice
        if the model has both on-time and late entries.  A cancelled entry is
        returned without this call.
        """
        teams = sorted(
            (t for t in self._by_team.items() if t[1].by_model),
            key=lambda pair: pair[1].virtual_time,
        )
        flows = [
            (team, queue, model, flow)
            for team, queue in teams
            for model, flow in queue.flows_by_service()
        ]
        for _, _, _, flow in flows:
            flow.move_late(now_ms)
        for is_late in (False, True):
            for team, queue, model, flow in flows:
                entries = flow.late if is_late else flow.on_time
                if not entries:
                    continue
                entry = entries[0]
                if entry.cancelled or can_run(entry):
                    entries.popleft()
                    self._record_service(team, queue, model, flow, entry)
                    return entry
        return None

    def remove_expired(self, now_ms: int) -> list[Entry[Item]]:
        """Remove and return the entries whose deadline has passed."""
        expired: list[Entry[Item]] = []
        for queue in self._by_team.values():
            for model, flow in list(queue.by_model.items()):
                expired += flow.remove_expired(now_ms)
                if not flow:
                    self._remove_flow(queue, model, flow)
        self._length -= len(expired)
        return expired

    def waiting_tokens(self, team: ids.TeamId) -> float:
        """Return the cost in tokens of a team's queued entries."""
        queue = self._by_team.get(team)
        if queue is None:
            return 0.0
        flows = queue.by_model.values()
        return sum(e.cost for e in itertools.chain.from_iterable(flows))

    def _record_service(
        self,
        team: ids.TeamId,
        queue: _TeamQueue[Item],
        model: str,
        flow: _Flow[Item],
        entry: Entry[Item],
    ) -> None:
        self._length -= 1
        if not entry.cancelled:
            weight = self._weight_by_team.get(team, 1.0)
            self._virtual_time = max(self._virtual_time, queue.virtual_time)
            queue.model_virtual_time = max(
                queue.model_virtual_time, flow.virtual_time
            )
            queue.virtual_time += entry.cost / weight
            flow.virtual_time += entry.cost
        if not flow:
            self._remove_flow(queue, model, flow)

    def _remove_flow(
        self,
        queue: _TeamQueue[Item],
        model: str,
        flow: _Flow[Item],
    ) -> None:
        queue.model_virtual_time = max(
            queue.model_virtual_time, flow.virtual_time
        )
        del queue.by_model[model]


def _without_expired(entries: Entries[Item], now_ms: int) -> Entries[Item]:
    return collections.deque(e for e in entries if e.deadline_ms > now_ms)
