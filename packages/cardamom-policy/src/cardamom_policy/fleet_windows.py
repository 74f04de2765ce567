"""Limits on what a whole fleet does within a sliding window.

Each instance counts what it admits and tells its peers its running totals.
An instance admits as long as its own count, what its peers told, and a fixed
part for each peer that is silent stay within the limit.  A peer that cannot
be heard holds itself to the same fixed part when it hears nobody, so the sum
over both sides of a cut stays within the limit.

Counts are told again as soon as the untold part could matter
(``is_news_due``), and what peers have counted since they were heard is
estimated from their rate of the last second.

It answers for bursts of one team over several instances, for teams whose use
stays near their limit, and for bursts of retries while targets fail.
"""

import collections
import dataclasses
import itertools
import typing

FRESH_MS = 3_200  # three periods of the slowest exchange between peers
PRESSED_FRESH_MS = 1_400  # three periods while a key is pressed
PRESSED_PART = 0.6  # of a limit; ordinary use stays below
MS_PER_S = 1000
BUCKET_MS = 50  # resolution of the sliding windows
PROFILE_STEP_MS = 500  # of a stored profile
GROWTH_PER_S = 0.3  # of a limit; a flood's growth since a profile was stored
EARLIER_PART = 0.6  # of a limit, used before a start; more is stored
MAX_LAG_MS = 1_000  # for which a peer's last rate is carried on
TELL_MS = 250  # within which a peer tells what it counts; then it may be cut
RATE_SPAN_MS = 1_000  # over which a peer's rate is measured
UNTOLD_PART = 0.04  # of a limit that all instances may leave untold
PRESSED_UNTOLD_PART = 0.004  # the same while the key is pressed
NEW_HEADROOM = 0.88  # for the first window, as earlier use is estimated
HEADROOM = 0.97  # while a member is silent; the rest covers its lag
SETTLED_HEADROOM = 0.98  # while every member is heard


class SlidingSum:
    """A sum over the last ``window_ms``, in buckets of ``BUCKET_MS``."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._sum = 0.0
        self.total = 0.0
        self.changed_ms = -window_ms

    def add(self, amount: float, now_ms: int) -> None:
        """Count an amount now."""
        start_ms = now_ms - now_ms % BUCKET_MS
        self.total += amount
        self.changed_ms = now_ms
        self._sum += amount
        if self._buckets and self._buckets[-1][0] == start_ms:
            self._buckets[-1][1] += amount
            return
        self._buckets.append([start_ms, amount])

    def since(self, from_ms: int) -> float:
        """Return what was counted in buckets that begin at or after."""
        recent = itertools.takewhile(
            lambda bucket: bucket[0] >= from_ms, reversed(self._buckets)
        )
        return sum(amount for _, amount in recent)

    def leaving(self) -> typing.Iterator[tuple[float, float]]:
        """Yield when each bucket leaves the window, and its amount."""
        for start_ms, amount in self._buckets:
            yield start_ms + self._window_ms + BUCKET_MS + 1, amount

    def sum(self, now_ms: int) -> float:
        """Return what was counted within the window."""
        buckets = self._buckets
        oldest_ms = now_ms - self._window_ms - BUCKET_MS
        while buckets and buckets[0][0] < oldest_ms:
            self._sum -= buckets.popleft()[1]
        if not buckets:
            self._sum = 0.0
        return self._sum


@dataclasses.dataclass(frozen=True)
class Profile:
    """What a fleet had counted of a key within a window, by age.

    ``amounts`` begins with the latest ``PROFILE_STEP_MS``; ``recorded_ms``
    is by the reader's clock.
    """

    recorded_ms: int
    amounts: tuple[float, ...]

    def replay(self, into: SlidingSum) -> None:
        """Count each amount at the latest time that it may have had."""
        for age, amount in reversed(list(enumerate(self.amounts))):
            if amount:
                into.add(amount, self.recorded_ms - age * PROFILE_STEP_MS)


@dataclasses.dataclass
class _Peer:
    heard_ms: int
    by_key: dict[str, SlidingSum] = dataclasses.field(default_factory=dict)

    def expected(self, key: str, now_ms: int) -> float:
        """Estimate what the peer has counted since it was heard."""
        counted = self.by_key.get(key)
        if counted is None:
            return 0.0
        lag_ms = min(now_ms - self.heard_ms - TELL_MS, MAX_LAG_MS)
        if lag_ms <= 0:
            return 0.0
        recent = counted.since(self.heard_ms - RATE_SPAN_MS)
        return recent * lag_ms / RATE_SPAN_MS


class FleetWindow:
    """Counts by key over all instances, each against its limit."""

    def __init__(self, window_ms: int, started_ms: int) -> None:
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._own: dict[str, SlidingSum] = {}
        self._peer_by_id: dict[str, _Peer] = {}
        self._members: frozenset[str] = frozenset()
        self._knows_earlier = False
        self._profile_by_key: dict[str, Profile] = {}
        self._earlier: dict[str, SlidingSum] = {}
        self._told_total_by_key: dict[str, float] = {}
        self._told_first: dict[str, SlidingSum] = {}

    def set_members(self, others: typing.Iterable[str]) -> None:
        """Name the other instances that may be admitting."""
        self._members = frozenset(others)

    def set_earlier(
        self, profile_by_key: typing.Mapping[str, Profile]
    ) -> None:
        """Tell what keys near their limit had used before this process.

        Only the first call counts: what comes later is of this process.
        """
        if not self._knows_earlier:
            self._knows_earlier = True
            self._profile_by_key = dict(profile_by_key)
            self._earlier.clear()

    def profile(self, key: str, now_ms: int) -> Profile:
        """Return what all instances have counted within the window."""
        steps = self._window_ms // PROFILE_STEP_MS
        starts = [now_ms - n * PROFILE_STEP_MS for n in range(steps + 1)]
        sums = [
            sum(one.since(start_ms) for one in self._sums(key))
            for start_ms in starts
        ]
        return Profile(
            now_ms,
            tuple(
                later - earlier for earlier, later in itertools.pairwise(sums)
            ),
        )

    def _sums(self, key: str) -> list[SlidingSum]:
        """Return this instance's sum, its peers' and the estimated one."""
        sums = [self._own.get(key), self._earlier.get(key)]
        sums += [peer.by_key.get(key) for peer in self._peer_by_id.values()]
        return [one for one in sums if one is not None]

    def export(
        self, now_ms: int, since_ms: int
    ) -> dict[str, tuple[float, float]]:
        """Return the total and the window's sum of keys changed since."""
        return {
            key: (counted.total, min(counted.total, counted.sum(now_ms)))
            for key, counted in self._own.items()
            if counted.changed_ms >= since_ms
        }

    def heard(
        self,
        peer: str,
        count_by_key: typing.Mapping[str, tuple[float, float]],
        now_ms: int,
        is_elder: bool = False,
    ) -> None:
        """Take a peer's running totals and its sums within the window.

        ``peer`` is MEMBER@INCARNATION, since totals start anew with it.  Of
        a total that is heard for the first time only the window counts.
        What an elder peer tells first ran before this start; what one that
        started with this one tells is new.
        """
        known = self._peer_by_id.setdefault(peer, _Peer(now_ms))
        known.heard_ms = now_ms
        for key, (total, recent) in count_by_key.items():
            counted = known.by_key.get(key)
            if counted is None:
                counted = SlidingSum(self._window_ms)
                counted.total = total - recent
                known.by_key[key] = counted
                if is_elder:
                    self._note_first(key, recent, now_ms)
            growth = total - counted.total
            if growth:
                counted.add(growth, now_ms)

    def _note_first(self, key: str, amount: float, now_ms: int) -> None:
        if key not in self._told_first:
            self._told_first[key] = SlidingSum(self._window_ms)
        self._told_first[key].add(amount, now_ms)

    def add(self, key: str, amount: float, now_ms: int) -> None:
        """Count an amount that is admitted here."""
        if key not in self._own:
            self._own[key] = SlidingSum(self._window_ms)
        self._own[key].add(amount, now_ms)

    def own(self, key: str, now_ms: int) -> float:
        """Return what this instance counted within the window."""
        counted = self._own.get(key)
        return counted.sum(now_ms) if counted else 0.0

    def used(self, key: str, now_ms: int, limit: float | None = None) -> float:
        """Return what all instances may have counted within the window.

        With a limit, each member that is silent counts for its fixed part.
        """
        heard = sum(
            peer.by_key[key].sum(now_ms)
            for peer in self._peer_by_id.values()
            if key in peer.by_key
        )
        silent = 0.0
        if limit is not None:
            part = limit / (len(self._members) + 1)
            told = self.own(key, now_ms) + heard
            fresh_ms = (
                PRESSED_FRESH_MS if told > limit * PRESSED_PART else FRESH_MS
            )
            silent = sum(
                max(0.0, part - self._of_member(member, key, now_ms))
                for member in self._members
                if not self._is_fresh(member, now_ms, fresh_ms)
            )
            silent = max(silent, self._unseen(key, limit, now_ms))
            silent += sum(
                peer.expected(key, now_ms)
                for peer in self._peer_by_id.values()
            )
        return self.own(key, now_ms) + heard + silent

    def is_pressed(self, key: str, limit: float, now_ms: int) -> bool:
        """Tell whether a key's use is so high that peers must hear often."""
        return self.used(key, now_ms) > limit * PRESSED_PART

    def is_news_due(self, key: str, limit: float, now_ms: int) -> bool:
        """Tell whether this instance's untold count could matter to peers.

        The untold counts of all instances together stay below a small part
        of the limit.
        """
        counted = self._own.get(key)
        if counted is None:
            return False
        untold = counted.total - self._told_total_by_key.get(key, 0.0)
        is_pressed = self.is_pressed(key, limit, now_ms)
        part = PRESSED_UNTOLD_PART if is_pressed else UNTOLD_PART
        return untold > limit * part / (len(self._members) + 1)

    def note_told(self) -> None:
        """Record that every peer has been told this instance's counts."""
        self._told_total_by_key = {
            key: counted.total for key, counted in self._own.items()
        }

    def is_settled(self, now_ms: int) -> bool:
        """Tell whether no use is estimated: all members are heard."""
        return now_ms - self._started_ms > self._window_ms and all(
            self._is_fresh(member, now_ms, PRESSED_FRESH_MS)
            for member in self._members
        )

    def wait_ms(
        self, key: str, amount: float, limit: float, now_ms: int
    ) -> int:
        """Return after how long an amount fits if nothing else is taken.

        Never longer than the window; estimates of silent members are taken
        to stay.
        """
        excess = self.used(key, now_ms, limit) + amount
        excess -= limit * self._headroom(now_ms)
        leaving = sorted(
            itertools.chain.from_iterable(
                one.leaving() for one in self._sums(key)
            )
        )
        for at_ms, leaves in leaving:
            if excess <= 0:
                break
            excess -= leaves
            if excess <= 0:
                return max(0, int(at_ms) - now_ms)
        return 0 if excess <= 0 else self._window_ms

    def take(self, key: str, amount: float, limit: float, now_ms: int) -> bool:
        """Count an amount if the limit allows it on all instances."""
        if not self.fits(key, amount, limit, now_ms):
            return False
        self.add(key, amount, now_ms)
        return True

    def fits(self, key: str, amount: float, limit: float, now_ms: int) -> bool:
        """Tell whether the limit allows an amount on all instances."""
        used = self.used(key, now_ms, limit)
        return used + amount <= limit * self._headroom(now_ms)

    def _headroom(self, now_ms: int) -> float:
        if now_ms - self._started_ms <= self._window_ms:
            return NEW_HEADROOM
        return SETTLED_HEADROOM if self.is_settled(now_ms) else HEADROOM

    def _unseen(self, key: str, limit: float, now_ms: int) -> float:
        """Estimate what ran before this start and no peer has told."""
        if now_ms - self._started_ms > self._window_ms:
            return 0.0
        earlier = self._earlier.get(key)
        if earlier is None:
            earlier = self._estimate_earlier(key, limit)
            self._earlier[key] = earlier
        told = self._told_first.get(key)
        known = told.sum(now_ms) if told else 0.0
        return max(0.0, earlier.sum(now_ms) - known)

    def _estimate_earlier(self, key: str, limit: float) -> SlidingSum:
        """Return what the fleet may have counted before this start.

        The use of a key that was near its limit is known up to a moment
        before, and may have grown since; another one is taken to have used a
        part of its limit evenly.
        """
        counted = SlidingSum(self._window_ms)
        profile = self._profile_by_key.get(key)
        if profile is not None:
            profile.replay(counted)
            known = counted.sum(self._started_ms)
            unseen_ms = max(0, self._started_ms - profile.recorded_ms)
            growth = limit * GROWTH_PER_S * unseen_ms / MS_PER_S
            counted.add(max(0.0, min(growth, limit - known)), self._started_ms)
            return counted
        steps = self._window_ms // BUCKET_MS
        for step in range(steps, 0, -1):
            at_ms = self._started_ms - step * BUCKET_MS
            counted.add(EARLIER_PART * limit / steps, at_ms)
        return counted

    def forget_idle(self, now_ms: int) -> None:
        """Drop incarnations whose counts have left the window."""
        horizon_ms = now_ms - 2 * self._window_ms
        self._peer_by_id = {
            peer_id: peer
            for peer_id, peer in self._peer_by_id.items()
            if peer.heard_ms > horizon_ms
        }

    def _is_fresh(self, member: str, now_ms: int, fresh_ms: int) -> bool:
        return any(
            _member_of(peer_id) == member
            and now_ms - peer.heard_ms <= fresh_ms
            for peer_id, peer in self._peer_by_id.items()
        )

    def _of_member(self, member: str, key: str, now_ms: int) -> float:
        return sum(
            peer.by_key[key].sum(now_ms)
            for peer_id, peer in self._peer_by_id.items()
            if _member_of(peer_id) == member and key in peer.by_key
        )


def _member_of(incarnation: str) -> str:
    return incarnation.rpartition("@")[0]
