"""Weighted fair queueing in tokens: teams first, then a team's models.

Start-time fair queueing after Goyal, Vin and Cheng, 1996, at two levels.  An
item that cannot run now is stepped over, so a model that waits for a target
holds up no other.
"""

import collections
import dataclasses
import typing

from cardamom_kernel import ids

Item = typing.TypeVar("Item")


@dataclasses.dataclass
class Entry(typing.Generic[Item]):
    """A queued item with its cost in tokens and its deadline."""

    team: ids.TeamId
    model: str
    cost: float
    deadline_ms: int
    item: Item
    cancelled: bool = False


class _Flow(typing.Generic[Item]):
    """One model's entries within a team, in order of arrival."""

    def __init__(self, start: float) -> None:
        self.virtual = start
        self.entries: collections.deque[Entry[Item]] = collections.deque()


class _TeamQueue(typing.Generic[Item]):
    """One team's models."""

    def __init__(self) -> None:
        self.virtual = 0.0
        self.model_virtual = 0.0
        self.by_model: dict[str, _Flow[Item]] = {}

    def ordered(self) -> list[tuple[str, _Flow[Item]]]:
        """Return the models, the least served first."""
        return sorted(self.by_model.items(), key=lambda pair: pair[1].virtual)


class FairQueue(typing.Generic[Item]):
    """Entries of all teams, taken in the order of weighted service."""

    def __init__(self) -> None:
        self._by_team: dict[ids.TeamId, _TeamQueue[Item]] = {}
        self._weight_by_team: dict[ids.TeamId, float] = {}
        self._virtual = 0.0
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
        """Queue an entry behind its team's others of the same model."""
        queue = self._by_team.setdefault(entry.team, _TeamQueue())
        if not queue.by_model:
            queue.virtual = max(queue.virtual, self._virtual)
        flow = queue.by_model.get(entry.model)
        if flow is None:
            flow = _Flow(queue.model_virtual)
            queue.by_model[entry.model] = flow
        flow.entries.append(entry)
        self._length += 1

    def pop(
        self,
        can_run: typing.Callable[[Entry[Item]], bool],
    ) -> Entry[Item] | None:
        """Take the next entry that can run, or return None.

        ``can_run`` is asked once for each model's first entry at most.
        """
        teams = sorted(
            (t for t in self._by_team.items() if t[1].by_model),
            key=lambda pair: pair[1].virtual,
        )
        for team, queue in teams:
            for model, flow in queue.ordered():
                entry = flow.entries[0]
                if entry.cancelled or can_run(entry):
                    self._take(team, queue, model, flow)
                    return entry
        return None

    def expired(self, now_ms: int) -> list[Entry[Item]]:
        """Take out the entries whose deadline has passed."""
        late: list[Entry[Item]] = []
        for queue in self._by_team.values():
            for model, flow in list(queue.by_model.items()):
                late += [e for e in flow.entries if e.deadline_ms <= now_ms]
                flow.entries = collections.deque(
                    e for e in flow.entries if e.deadline_ms > now_ms
                )
                if not flow.entries:
                    del queue.by_model[model]
        self._length -= len(late)
        return late

    def waiting_by_model(self) -> dict[str, int]:
        """Return how many entries wait, by model."""
        counts: collections.Counter[str] = collections.Counter()
        for queue in self._by_team.values():
            for model, flow in queue.by_model.items():
                counts[model] += len(flow.entries)
        return dict(counts)

    def waiting_tokens(self, team: ids.TeamId) -> float:
        """Return the tokens that a team has waiting."""
        queue = self._by_team.get(team)
        if queue is None:
            return 0.0
        return sum(
            entry.cost
            for flow in queue.by_model.values()
            for entry in flow.entries
        )

    def _take(
        self,
        team: ids.TeamId,
        queue: _TeamQueue[Item],
        model: str,
        flow: _Flow[Item],
    ) -> None:
        entry = flow.entries.popleft()
        self._length -= 1
        if not entry.cancelled:
            weight = self._weight_by_team.get(team, 1.0)
            self._virtual = max(self._virtual, queue.virtual)
            queue.model_virtual = max(queue.model_virtual, flow.virtual)
            queue.virtual += entry.cost / weight
            flow.virtual += entry.cost
        if not flow.entries:
            queue.model_virtual = max(queue.model_virtual, flow.virtual)
            del queue.by_model[model]
