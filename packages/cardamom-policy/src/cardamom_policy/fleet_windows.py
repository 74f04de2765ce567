"""Limits on what a whole fleet does within a sliding window.

Each instance counts what it admits and reports running totals to its peers.
An instance admits while the sum of its own count, the counts reported by its
peers and a fixed share of the limit for each peer whose reports are stale
stays within the limit.  An unreachable peer that receives no reports keeps to
the same fixed share, so the sum over both sides of a network partition stays
within the limit.

An instance that has just started doesn't know the counts of instances that
ended before; its peers pass these on (``ended_counts``).

Counts are reported again as soon as the unreported amount could matter
(``is_report_due``).  What peers have counted since their last report is
estimated from their rate during the second before it.

This handles bursts of one team over several instances, teams whose use stays
near their limit, and bursts of retries while targets fail.
"""

import collections
import dataclasses
import itertools
import typing

# A report is fresh for three periods of the slowest exchange between peers.
REPORT_FRESH_MS = 3_200
NEAR_LIMIT_FRESH_MS = 1_400  # three exchange periods of a key near its limit
NEAR_LIMIT_FRACTION = 0.6  # of a limit; ordinary use stays below
MS_PER_S = 1000
BUCKET_MS = 50  # resolution of the sliding windows
PROFILE_STEP_MS = 500  # resolution of a stored profile
# Growth of a flood, as a fraction of the limit, after a profile was stored.
GROWTH_FRACTION_PER_S = 0.3
# Assumed use before a start, as a fraction of the limit, of a key without a
# stored profile.  Profiles are stored for keys with higher use.
EARLIER_USE_FRACTION = 0.6
MAX_EXTRAPOLATION_MS = 1_000  # longest time to extrapolate a peer's last rate
# A reachable peer with new counts reports within this time.  A peer that is
# silent for longer may be partitioned, so its use is extrapolated.
REPORT_DELAY_MS = 250
RATE_SPAN_MS = 1_000  # period over which a peer's rate is measured
# Part of a limit that all instances together may leave unreported.
UNREPORTED_FRACTION = 0.04
NEAR_LIMIT_UNREPORTED_FRACTION = 0.004  # the same for a key near its limit
# Usable part of a limit in the first window, when earlier use is an estimate.
STARTUP_USABLE_FRACTION = 0.88
# Usable part while a member is stale; the remainder covers its delayed counts.
USABLE_FRACTION = 0.97
SETTLED_USABLE_FRACTION = 0.98  # usable part while all members are fresh
# Part of a limit that is taken as used evenly when the share of an instance
# is estimated, so that an instance with few requests has a share, too.
EVEN_SHARE_FRACTION = 0.1


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

    def sum_since(self, from_ms: int) -> float:
        """Return the sum of buckets that begin at ``from_ms`` or later."""
        recent = itertools.takewhile(
            lambda bucket: bucket[0] >= from_ms, reversed(self._buckets)
        )
        return sum(amount for _, amount in recent)

    def expirations(self) -> typing.Iterator[tuple[float, float]]:
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
    """What a fleet counted for a key within a window, by age.

    ``amounts`` has an entry for each step of ``PROFILE_STEP_MS``, the latest
    step first.  ``recorded_ms`` is by the clock of the process that reads it.
    """

    recorded_ms: int
    amounts: tuple[float, ...]

    def replay(self, destination: SlidingSum) -> None:
        """Add each amount at the latest time at which it may have occurred."""
        for step, amount in reversed(list(enumerate(self.amounts))):
            if amount:
                destination.add(
                    amount, self.recorded_ms - step * PROFILE_STEP_MS
                )


@dataclasses.dataclass(frozen=True)
class EndedCount:
    """What an ended incarnation counted for a key.

    ``total`` is its running total, and ``amounts`` what of it lies in the
    window, as in a profile.
    """

    total: float
    amounts: tuple[float, ...]


CountsByKey = typing.Mapping[str, EndedCount]


@dataclasses.dataclass
class _Peer:
    received_ms: int
    sum_by_key: dict[str, SlidingSum] = dataclasses.field(default_factory=dict)

    def estimate_unreported(self, key: str, now_ms: int) -> float:
        """Estimate what the peer has counted since its last report."""
        lag_ms = min(
            now_ms - self.received_ms - REPORT_DELAY_MS, MAX_EXTRAPOLATION_MS
        )
        if lag_ms <= 0:
            return 0.0
        counted = self.sum_by_key.get(key)
        if counted is None:
            return 0.0
        recent = counted.sum_since(self.received_ms - RATE_SPAN_MS)
        return recent * lag_ms / RATE_SPAN_MS


class FleetWindow:
    """Counts by key over all instances, checked against a limit."""

    def __init__(self, window_ms: int, started_ms: int) -> None:
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._own: dict[str, SlidingSum] = {}
        self._peer_by_id: dict[str, _Peer] = {}
        # Incarnations by member, and when one of them was last heard of.
        self._peers_by_member: dict[str, list[_Peer]] = {}
        self._received_ms_by_member: dict[str, int] = {}
        # Reports of all peers together, and what ended ones had counted.
        self._reported_by_key: dict[str, SlidingSum] = {}
        self._ended_by_key: dict[str, list[SlidingSum]] = {}
        self._members: frozenset[str] = frozenset()
        self._has_earlier_use = False
        self._profile_by_key: dict[str, Profile] = {}
        self._earlier_use_by_key: dict[str, SlidingSum] = {}
        self._reported_total_by_key: dict[str, float] = {}
        self._first_reported_by_key: dict[str, SlidingSum] = {}

    def set_members(self, others: typing.Iterable[str]) -> None:
        """Set the other instances that may admit requests."""
        self._members = frozenset(others)

    def set_earlier_use(
        self, profile_by_key: typing.Mapping[str, Profile]
    ) -> None:
        """Set what keys near their limit had used before this process.

        Only the first call has an effect, since later profiles include the
        use of this process.
        """
        if not self._has_earlier_use:
            self._has_earlier_use = True
            self._profile_by_key = dict(profile_by_key)
            self._earlier_use_by_key.clear()

    def profile(self, key: str, now_ms: int) -> Profile:
        """Return what all instances have counted within the window."""
        return Profile(now_ms, self._amounts(self._sums(key), now_ms))

    def _amounts(
        self, parts: typing.Sequence[SlidingSum], now_ms: int
    ) -> tuple[float, ...]:
        """Return the amounts of some sums by age, the latest first."""
        steps = self._window_ms // PROFILE_STEP_MS
        starts = [now_ms - n * PROFILE_STEP_MS for n in range(steps + 1)]
        sums = [
            sum(counted.sum_since(start_ms) for counted in parts)
            for start_ms in starts
        ]
        return tuple(
            later - earlier for earlier, later in itertools.pairwise(sums)
        )

    def _sums(self, key: str) -> list[SlidingSum]:
        """Return the own sum, the estimated earlier sum and peers' sums."""
        sums = [self._own.get(key), self._earlier_use_by_key.get(key)]
        sums += [
            peer.sum_by_key.get(key) for peer in self._peer_by_id.values()
        ]
        return [counted for counted in sums if counted is not None]

    def export(
        self, now_ms: int, since_ms: int
    ) -> dict[str, tuple[float, float]]:
        """Return the running total and window sum of each recent key.

        Only keys with a change at ``since_ms`` or later are returned.
        """
        return {
            key: (counted.total, min(counted.total, counted.sum(now_ms)))
            for key, counted in self._own.items()
            if counted.changed_ms >= since_ms
        }

    def receive(
        self,
        peer: str,
        count_by_key: typing.Mapping[str, tuple[float, float]],
        now_ms: int,
        is_older_peer: bool = False,
        age_ms: int = 0,
    ) -> None:
        """Receive a peer's running totals and its sums within the window.

        ``peer`` is MEMBER@INCARNATION, since totals restart from 0 with each
        incarnation.  Of the first total received for a key only the window
        sum counts.  If ``is_older_peer``, the peer started before this
        instance, so that sum is use from before this start; otherwise it is
        new use.  ``age_ms`` is the time that the report was on its way.
        """
        sender = self._peer(peer, now_ms - age_ms)
        sender.received_ms = max(sender.received_ms, now_ms - age_ms)
        member = _member_of(peer)
        self._received_ms_by_member[member] = max(
            self._received_ms_by_member.get(member, sender.received_ms),
            sender.received_ms,
        )
        for key, (total, recent) in count_by_key.items():
            counted = sender.sum_by_key.get(key)
            if counted is None:
                counted = SlidingSum(self._window_ms)
                counted.total = total - recent
                sender.sum_by_key[key] = counted
                if is_older_peer:
                    self._add_first_reported(key, recent, now_ms)
            growth = total - counted.total
            if growth:
                counted.add(growth, now_ms)
                self._sum(self._reported_by_key, key).add(growth, now_ms)

    def _peer(self, incarnation: str, received_ms: int) -> _Peer:
        """Return the record of a peer, a new one if there is none."""
        peer = self._peer_by_id.get(incarnation)
        if peer is None:
            peer = self._peer_by_id[incarnation] = _Peer(received_ms)
            member = _member_of(incarnation)
            self._peers_by_member.setdefault(member, []).append(peer)
        return peer

    def _sum(self, sum_by_key: dict[str, SlidingSum], key: str) -> SlidingSum:
        if key not in sum_by_key:
            sum_by_key[key] = SlidingSum(self._window_ms)
        return sum_by_key[key]

    def ended_counts(self, now_ms: int) -> dict[str, CountsByKey]:
        """Return what ended incarnations of peers had counted.

        Those are incarnations with a successor, and silent ones.
        """
        latest_ms: dict[str, int] = {}
        for incarnation, peer in self._peer_by_id.items():
            member = _member_of(incarnation)
            latest_ms[member] = max(latest_ms.get(member, 0), peer.received_ms)
        counts_by_incarnation = {
            incarnation: {
                key: EndedCount(
                    counted.total, self._amounts([counted], now_ms)
                )
                for key, counted in peer.sum_by_key.items()
                if counted.sum(now_ms) > 0
            }
            for incarnation, peer in self._peer_by_id.items()
            if peer.received_ms < latest_ms[_member_of(incarnation)]
            or now_ms - peer.received_ms > NEAR_LIMIT_FRESH_MS
        }
        return {i: c for i, c in counts_by_incarnation.items() if c}

    def receive_ended(
        self,
        counts_by_incarnation: typing.Mapping[str, CountsByKey],
        now_ms: int,
    ) -> None:
        """Receive what a peer knows of ended incarnations.

        Counts that this instance has received itself are kept.
        """
        for incarnation, count_by_key in counts_by_incarnation.items():
            peer = self._peer(incarnation, now_ms - REPORT_FRESH_MS - 1)
            for key, count in count_by_key.items():
                if key in peer.sum_by_key:
                    continue
                counted = self._replayed(count, now_ms)
                counted.total = count.total
                peer.sum_by_key[key] = counted
                # Later growth of the peer's count is no part of it.
                self._ended_by_key.setdefault(key, []).append(
                    self._replayed(count, now_ms)
                )
                self._add_first_reported(key, counted.sum(now_ms), now_ms)

    def _replayed(self, count: EndedCount, now_ms: int) -> SlidingSum:
        counted = SlidingSum(self._window_ms)
        Profile(now_ms, count.amounts).replay(counted)
        return counted

    def _add_first_reported(
        self, key: str, amount: float, now_ms: int
    ) -> None:
        self._sum(self._first_reported_by_key, key).add(amount, now_ms)

    def add(self, key: str, amount: float, now_ms: int) -> None:
        """Count an amount that this instance admits."""
        self._sum(self._own, key).add(amount, now_ms)

    def own(self, key: str, now_ms: int) -> float:
        """Return what this instance counted within the window."""
        counted = self._own.get(key)
        return counted.sum(now_ms) if counted else 0.0

    def share(self, key: str, limit: float, now_ms: int) -> float:
        """Return this instance's part of the fleet's use, above 0 up to 1.

        While little is counted, it is near the same part for all instances.
        """
        own, even = self.own(key, now_ms), limit * EVEN_SHARE_FRACTION
        used = own + self._reported(key, now_ms)
        return (own + even / (len(self._members) + 1)) / (used + even)

    def used(self, key: str, now_ms: int, limit: float | None = None) -> float:
        """Return what all instances may have counted within the window.

        With a limit, each stale member counts for at least its fixed share,
        and unreported use of peers is estimated.
        """
        reported = self._reported(key, now_ms)
        estimated = 0.0
        if limit is not None:
            share = limit / (len(self._members) + 1)
            counted = self.own(key, now_ms) + reported
            max_age_ms = (
                NEAR_LIMIT_FRESH_MS
                if counted > limit * NEAR_LIMIT_FRACTION
                else REPORT_FRESH_MS
            )
            estimated = sum(
                max(0.0, share - self._member_use(member, key, now_ms))
                for member in self._members
                if not self._is_fresh(member, now_ms, max_age_ms)
            )
            estimated = max(
                estimated, self._unreported_earlier_use(key, limit, now_ms)
            )
            estimated += sum(
                peer.estimate_unreported(key, now_ms)
                for peer in self._peer_by_id.values()
            )
        return self.own(key, now_ms) + reported + estimated

    def _reported(self, key: str, now_ms: int) -> float:
        """Return what peers have reported within the window."""
        counted = self._reported_by_key.get(key)
        reported = counted.sum(now_ms) if counted else 0.0
        return reported + sum(
            ended.sum(now_ms) for ended in self._ended_by_key.get(key, ())
        )

    def is_near_limit(self, key: str, limit: float, now_ms: int) -> bool:
        """Return whether a key's use is high enough for frequent reports."""
        return self.used(key, now_ms) > limit * NEAR_LIMIT_FRACTION

    def is_report_due(self, key: str, limit: float, now_ms: int) -> bool:
        """Return whether this instance's unreported count could matter.

        The unreported counts of all instances together stay below a small
        part of the limit.
        """
        counted = self._own.get(key)
        if counted is None:
            return False
        unreported = counted.total - self._reported_total_by_key.get(key, 0.0)
        is_near_limit = self.is_near_limit(key, limit, now_ms)
        fraction = (
            NEAR_LIMIT_UNREPORTED_FRACTION
            if is_near_limit
            else UNREPORTED_FRACTION
        )
        return unreported > limit * fraction / (len(self._members) + 1)

    def mark_reported(self) -> None:
        """Record that this instance's counts were reported to all peers."""
        self._reported_total_by_key = {
            key: counted.total for key, counted in self._own.items()
        }

    def is_settled(self, now_ms: int) -> bool:
        """Return whether all members are fresh and the first window is over.

        Then no share of a stale member or earlier use has to be estimated.
        """
        return now_ms - self._started_ms > self._window_ms and all(
            self._is_fresh(member, now_ms, NEAR_LIMIT_FRESH_MS)
            for member in self._members
        )

    def wait_ms(
        self, key: str, amount: float, limit: float, now_ms: int
    ) -> int:
        """Return the milliseconds until an amount fits within the limit.

        Assumes that nothing else is admitted and that the estimates for
        stale members stay the same.  At most the window's length.
        """
        excess = self.used(key, now_ms, limit) + amount
        excess -= limit * self._usable_fraction(now_ms)
        expiries = sorted(
            itertools.chain.from_iterable(
                counted.expirations() for counted in self._sums(key)
            )
        )
        for expires_ms, expiring_amount in expiries:
            if excess <= 0:
                break
            excess -= expiring_amount
            if excess <= 0:
                return max(0, int(expires_ms) - now_ms)
        return 0 if excess <= 0 else self._window_ms

    def try_add(
        self, key: str, amount: float, limit: float, now_ms: int
    ) -> bool:
        """Count an amount if it fits; return whether it was counted."""
        if not self.fits(key, amount, limit, now_ms):
            return False
        self.add(key, amount, now_ms)
        return True

    def fits(self, key: str, amount: float, limit: float, now_ms: int) -> bool:
        """Return whether an amount fits within the limit of the fleet."""
        used = self.used(key, now_ms, limit)
        return used + amount <= limit * self._usable_fraction(now_ms)

    def _usable_fraction(self, now_ms: int) -> float:
        if now_ms - self._started_ms <= self._window_ms:
            return STARTUP_USABLE_FRACTION
        return (
            SETTLED_USABLE_FRACTION
            if self.is_settled(now_ms)
            else USABLE_FRACTION
        )

    def _unreported_earlier_use(
        self, key: str, limit: float, now_ms: int
    ) -> float:
        """Estimate use before this start that no peer has reported."""
        if now_ms - self._started_ms > self._window_ms:
            return 0.0
        earlier = self._earlier_use_by_key.get(key)
        if earlier is None:
            earlier = self._estimate_earlier_use(key, limit)
            self._earlier_use_by_key[key] = earlier
        first_reported = self._first_reported_by_key.get(key)
        reported = first_reported.sum(now_ms) if first_reported else 0.0
        return max(0.0, earlier.sum(now_ms) - reported)

    def _estimate_earlier_use(self, key: str, limit: float) -> SlidingSum:
        """Return what the fleet may have counted before this start.

        For a key near its limit, a stored profile gives the use until shortly
        before the start, and growth since then is added.  Any other key is
        assumed to have used a fixed part of its limit evenly.
        """
        counted = SlidingSum(self._window_ms)
        profile = self._profile_by_key.get(key)
        if profile is not None:
            profile.replay(counted)
            recorded = counted.sum(self._started_ms)
            gap_ms = max(0, self._started_ms - profile.recorded_ms)
            growth = limit * GROWTH_FRACTION_PER_S * gap_ms / MS_PER_S
            counted.add(
                max(0.0, min(growth, limit - recorded)), self._started_ms
            )
            return counted
        steps = self._window_ms // BUCKET_MS
        for step in range(steps, 0, -1):
            at_ms = self._started_ms - step * BUCKET_MS
            counted.add(EARLIER_USE_FRACTION * limit / steps, at_ms)
        return counted

    def drop_stale_peers(self, now_ms: int) -> None:
        """Drop peer incarnations whose counts have all left the window."""
        horizon_ms = now_ms - 2 * self._window_ms
        self._peer_by_id = {
            peer_id: peer
            for peer_id, peer in self._peer_by_id.items()
            if peer.received_ms > horizon_ms
        }
        self._peers_by_member = {}
        for peer_id, peer in self._peer_by_id.items():
            member = _member_of(peer_id)
            self._peers_by_member.setdefault(member, []).append(peer)
        self._received_ms_by_member = {
            member: received_ms
            for member, received_ms in self._received_ms_by_member.items()
            if member in self._peers_by_member
        }
        self._ended_by_key = {
            key: remaining
            for key, ended in self._ended_by_key.items()
            if (remaining := [e for e in ended if e.sum(now_ms) > 0])
        }

    def _is_fresh(self, member: str, now_ms: int, max_age_ms: int) -> bool:
        received_ms = self._received_ms_by_member.get(member)
        return received_ms is not None and now_ms - received_ms <= max_age_ms

    def _member_use(self, member: str, key: str, now_ms: int) -> float:
        return sum(
            peer.sum_by_key[key].sum(now_ms)
            for peer in self._peers_by_member.get(member, ())
            if key in peer.sum_by_key
        )


def _member_of(incarnation: str) -> str:
    return incarnation.rpartition("@")[0]
