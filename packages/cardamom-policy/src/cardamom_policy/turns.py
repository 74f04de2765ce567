"""When a caller beyond its team's rate should come back.

Handles the flood of one team: far more requests than its rate allows arrive
within a second or two.  If each refused caller is told when a single request
would fit, all of them return together and most are refused again.  So each
one gets a turn, and the turns follow one another at the team's rate.

An instance promises turns at its share of the rate, since the other instances
of the fleet promise the rest.  The caller may return to another instance, so
a turn is no reservation; any admitted request takes a turn that is due.
"""

import dataclasses
import heapq
import random

from cardamom_kernel import ids

MS_PER_S = 1000
# A caller waits at most so much of its remaining time, then it tries again.
WAIT_FRACTION = 1 / 3
# A turn expires so long after it was due; callers return a little late.
TURN_GRACE_MS = 300


@dataclasses.dataclass(frozen=True)
class Pace:
    """A team's rate, in cost units a second, and the part of it used here.

    ``share`` is this instance's part of the fleet's requests of the team,
    above 0 and at most 1.
    """

    rate_per_s: float
    share: float

    def duration_ms(self, cost: float) -> float:
        """Return in how many ms this instance's callers may use a cost."""
        return cost * MS_PER_S / (self.rate_per_s * self.share)


class _Queue:
    """One team's promised turns, as pairs of due time and cost."""

    def __init__(self) -> None:
        self._turns: list[tuple[float, float]] = []
        self.cost = 0.0

    def __len__(self) -> int:
        return len(self._turns)

    def push(self, due_ms: float, cost: float) -> None:
        heapq.heappush(self._turns, (due_ms, cost))
        self.cost += cost

    def pop_due(self, due_ms: float) -> bool:
        """Remove the first turn if it is due; return whether it is."""
        if not self._turns or self._turns[0][0] > due_ms:
            return False
        _, cost = heapq.heappop(self._turns)
        # Rounding errors must not remain after the last turn.
        self.cost = self.cost - cost if self._turns else 0.0
        return True


class Turns:
    """The turns that this instance has promised, by team."""

    def __init__(self) -> None:
        self._by_team: dict[ids.TeamId, _Queue] = {}

    def promise(
        self,
        team: ids.TeamId,
        cost: float,
        pace: Pace,
        room_wait_ms: float,
        remaining_ms: float,
        now_ms: int,
    ) -> float:
        """Return the wait in ms until a refused caller's turn.

        ``room_wait_ms`` is when the request would fit if nothing else were
        admitted; ``remaining_ms`` is the caller's time to its deadline.  A
        turn for which the caller doesn't wait isn't kept, so that it delays
        no others.
        """
        queue = self._expire(team, now_ms)
        longest_ms = remaining_ms * WAIT_FRACTION
        wait_ms = room_wait_ms + pace.duration_ms(queue.cost)
        if wait_ms <= longest_ms:
            # Other instances promise turns within the same period; callers
            # of all instances would else return together at its beginning.
            elsewhere_ms = pace.duration_ms(cost) * (1 - pace.share)
            wait_ms += random.uniform(
                0, min(elsewhere_ms, longest_ms - wait_ms)
            )
            queue.push(now_ms + wait_ms, cost)
            self._by_team[team] = queue
        return wait_ms

    def take(self, team: ids.TeamId, now_ms: int) -> None:
        """Record that a request is admitted, which takes a due turn."""
        if team in self._by_team:
            self._expire(team, now_ms).pop_due(now_ms)

    def waiting(self, team: ids.TeamId, now_ms: int) -> int:
        """Return the number of turns that are promised and not taken."""
        return len(self._expire(team, now_ms))

    def _expire(self, team: ids.TeamId, now_ms: int) -> _Queue:
        """Return a team's turns without those that were not taken."""
        queue = self._by_team.get(team)
        if queue is None:
            return _Queue()
        while queue.pop_due(now_ms - TURN_GRACE_MS):
            pass
        if not queue:
            del self._by_team[team]
        return queue
