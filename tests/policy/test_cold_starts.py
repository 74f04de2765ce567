"""Tests of the permits for requests to a cold replica."""

import random

import pytest

from cardamom_policy import cold_starts
from cardamom_policy import permits

RATE_PER_S = 9.2
OVERAGE = 1.5
TOLERANCE = 5.0
SECOND_MS = 1_000
USED_RATIO = 0.8


def allowed(rate_per_s: float = RATE_PER_S) -> float:
    """Return how many requests a cold replica may get in a second."""
    return rate_per_s * OVERAGE + TOLERANCE


def most_in_a_second(times_ms: list[int]) -> int:
    """Return the most requests in any second."""
    return max(
        (
            sum(1 for t in times_ms if first <= t < first + SECOND_MS)
            for first in times_ms
        ),
        default=0,
    )


def take(
    bucket: permits.PermitBucket,
    now_ms: int,
    rate_per_s: float = float("inf"),
    is_urgent: bool = True,
    share: float = 1.0,
) -> int:
    """Take a permit for the cold replica."""
    bound = cold_starts.find_bound(RATE_PER_S, OVERAGE, TOLERANCE)
    return bucket.take(rate_per_s, is_urgent, now_ms, bound.scaled(share))


class TestColdBound:
    """The rate and the burst of a service's cold replicas."""

    @pytest.mark.parametrize("rate_per_s", [2.0, 9.2, 40.0])
    def test_burst_and_refill_stay_below_the_bound(
        self, rate_per_s: float
    ) -> None:
        """Guards against a burst that doesn't leave room for the refill."""
        bound = cold_starts.find_bound(rate_per_s, OVERAGE, TOLERANCE)
        assert bound.rate_per_s == rate_per_s
        most = bound.burst + bound.rate_per_s + cold_starts.IDLE_PERMITS
        assert most <= USED_RATIO * allowed(rate_per_s) + 1e-9

    @pytest.mark.parametrize("rate_per_s", [0.5, 3.0, 9.2])
    def test_rate_is_lowered_if_nothing_is_tolerated(
        self, rate_per_s: float
    ) -> None:
        """Guards against a burst of no permit, which serves nobody."""
        bound = cold_starts.find_bound(rate_per_s, 1.0, 0.0)
        assert bound.burst >= 1
        assert 0 < bound.rate_per_s <= rate_per_s


class TestPermitsOfAColdReplica:
    """Permits under demand that exceeds the bound by far."""

    @pytest.mark.parametrize("seed", range(5))
    def test_no_second_has_more_than_the_bound(self, seed: int) -> None:
        """Guards against a burst of saved permits on top of the rate."""
        rng = random.Random(seed)
        bucket = permits.PermitBucket(0)
        taken, now_ms = [], 0
        while now_ms < 60_000:
            now_ms += rng.choice((1, 5, 20, 900, 1_500, 5_000))
            taken += [
                now_ms
                for _ in range(rng.randrange(40))
                if take(bucket, now_ms) == 0
            ]
        assert most_in_a_second(taken) <= USED_RATIO * allowed()

    def test_all_permits_are_used(self) -> None:
        """Guards against permits that are left over under steady demand."""
        bucket = permits.PermitBucket(0)
        taken = [t for t in range(0, 30_000, 10) if take(bucket, t) == 0]
        assert len(taken) >= 0.95 * RATE_PER_S * 30

    @pytest.mark.parametrize("tenure_ms", [2_500, 4_000])
    def test_owners_that_alternate_keep_to_the_bound(
        self, tenure_ms: int
    ) -> None:
        """Guards against an earlier owner that has saved permits meanwhile.

        The demand pauses before each change, so that the present owner has
        saved permits, too.
        """
        buckets = [permits.PermitBucket(0), permits.PermitBucket(0)]
        taken = []
        for now_ms in range(0, 40_000, 5):
            bucket = buckets[now_ms // tenure_ms % 2]
            remaining_ms = tenure_ms - now_ms % tenure_ms
            if not 50 < remaining_ms <= 950:
                taken += [
                    now_ms for _ in range(8) if take(bucket, now_ms) == 0
                ]
        assert most_in_a_second(taken) <= USED_RATIO * allowed()

    def test_lower_stated_limit_takes_precedence(self) -> None:
        """Guards against a cold replica that gets more than it states."""
        bucket = permits.PermitBucket(0)
        taken = [t for t in range(0, 30_000, 10) if take(bucket, t, 1.5) == 0]
        assert len(taken) <= 1.5 * 30 + 1

    def test_small_shares_of_many_instances_do_not_coincide(self) -> None:
        """Guards against 330 instances, all cut off, that send together."""
        random.seed(4)
        buckets = [permits.PermitBucket(0) for _ in range(330)]
        taken = [
            now_ms
            for now_ms in range(0, 240_000, 100)
            for bucket in buckets
            if take(bucket, now_ms, share=0.5 / 330) == 0
        ]
        assert len(taken) > 330
        assert most_in_a_second(taken) <= allowed()

    def test_urgent_requests_go_first(self) -> None:
        """Guards against permits that others take from urgent requests."""
        bucket = permits.PermitBucket(0)
        taken = {True: 0, False: 0}
        for now_ms in range(0, 30_000, 10):
            taken[False] += take(bucket, now_ms, is_urgent=False) == 0
            taken[True] += take(bucket, now_ms) == 0
        assert taken[False] <= 2
        assert taken[True] >= 0.9 * RATE_PER_S * 30

    def test_returned_wait_is_the_time_of_the_next_permit(self) -> None:
        """Guards against refusals whose time to retry is too early."""
        bucket = permits.PermitBucket(0)
        wait_ms = take(bucket, 0)
        assert take(bucket, wait_ms - 1) > 0
        assert take(bucket, wait_ms) == 0
