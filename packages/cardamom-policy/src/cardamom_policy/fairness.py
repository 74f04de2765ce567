"""Weighted fair queueing in tokens: teams first, then a team's models.

Start-time fair queueing after Goyal, Vin and Cheng, 1996, at two levels.  An
item that cannot run now is stepped over, so a model that waits for a target
holds up no other.  Entries that can still start on time go before those that
are late already, so that a backlog does not make everybody late.
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

    After ``on_time_ms`` it is late; after ``deadline_ms`` it is given up.
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
        self.virtual = start
        self.timely: Entries[Item] = collections.deque()
        self.late: Entries[Item] = collections.deque()

    def __len__(self) -> int:
        return len(self.timely) + len(self.late)

    def __iter__(self) -> typing.Iterator[Entry[Item]]:
        return itertools.chain(self.late, self.timely)

    def age(self, now_ms: int) -> None:
        """Move what has become late."""
        while self.timely and self.timely[0].on_time_ms <= now_ms:
            self.late.append(self.timely.popleft())

    def drop_expired(self, now_ms: int) -> list[Entry[Item]]:
        """Take out what is given up."""
        expired = [entry for entry in self if entry.deadline_ms <= now_ms]
        if expired:
            self.late = _keep(self.late, now_ms)
            self.timely = _keep(self.timely, now_ms)
        return expired


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
        flow.timely.append(entry)
        self._length += 1

    def pop(
        self,
        can_run: typing.Callable[[Entry[Item]], bool],
        now_ms: int,
    ) -> Entry[Item] | None:
        """Take the next entry that can run, or return None.

        ``can_run`` is asked once for each model of each team at most, twice
        if the model has both timely and late entries.
        """
        teams = sorted(
            (t for t in self._by_team.items() if t[1].by_model),
            key=lambda pair: pair[1].virtual,
        )
        flows = [
            (team, queue, model, flow)
            for team, queue in teams
            for model, flow in queue.ordered()
        ]
        for _, _, _, flow in flows:
            flow.age(now_ms)
        for is_late in (False, True):
            for team, queue, model, flow in flows:
                entries = flow.late if is_late else flow.timely
                if not entries:
                    continue
                entry = entries[0]
                if entry.cancelled or can_run(entry):
                    entries.popleft()
                    self._serve(team, queue, model, flow, entry)
                    return entry
        return None

    def expired(self, now_ms: int) -> list[Entry[Item]]:
        """Take out the entries whose deadline has passed."""
        expired: list[Entry[Item]] = []
        for queue in self._by_team.values():
            for model, flow in list(queue.by_model.items()):
                expired += flow.drop_expired(now_ms)
                if not flow:
                    self._retire(queue, model, flow)
        self._length -= len(expired)
        return expired

    def waiting_tokens(self, team: ids.TeamId) -> float:
        """Return the tokens that a team has waiting."""
        queue = self._by_team.get(team)
        if queue is None:
            return 0.0
        flows = queue.by_model.values()
        return sum(e.cost for e in itertools.chain.from_iterable(flows))

    def _serve(
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
            self._virtual = max(self._virtual, queue.virtual)
            queue.model_virtual = max(queue.model_virtual, flow.virtual)
            queue.virtual += entry.cost / weight
            flow.virtual += entry.cost
        if not flow:
            self._retire(queue, model, flow)

    def _retire(
        self,
        queue: _TeamQueue[Item],
        model: str,
        flow: _Flow[Item],
    ) -> None:
        queue.model_virtual = max(queue.model_virtual, flow.virtual)
        del queue.by_model[model]


def _keep(entries: Entries[Item], now_ms: int) -> Entries[Item]:
    return collections.deque(e for e in entries if e.deadline_ms > now_ms)
