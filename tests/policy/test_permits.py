"""Tests of the permits for requests to a replica with a rate limit."""

import pytest

from cardamom_policy import permits

STEP_MS = 10
SPAN_MS = 4_000
# What the operators allow in a span: one and a half times the limit, and 5.
OVERAGE_RATIO = 1.5
SLACK_REQUESTS = 5


def taken_ms(
    rate_per_s: float, duration_ms: int, is_urgent: bool = True
) -> list[int]:
    """Return when permits were taken by callers that always want one."""
    bucket = permits.PermitBucket(0)
    return [
        now_ms
        for now_ms in range(0, duration_ms, STEP_MS)
        if bucket.take(rate_per_s, is_urgent, now_ms) == 0
    ]


class TestPermitBucket:
    """Permits under demand that exceeds the limit by far."""

    @pytest.mark.parametrize("rate_per_s", [0.4, 1.0, 1.5, 12.0, 50.0])
    def test_all_permits_of_the_limit_are_used(
        self, rate_per_s: float
    ) -> None:
        """Over a minute, as many are taken as the limit allows."""
        count = len(taken_ms(rate_per_s, 60_000))
        assert 0.9 * 60 * rate_per_s <= count <= 60 * rate_per_s + 1

    @pytest.mark.parametrize("rate_per_s", [0.0, 0.4, 1.0, 1.5, 12.0, 50.0])
    def test_span_after_a_pause_stays_within_the_allowed_number(
        self, rate_per_s: float
    ) -> None:
        """Permits that were saved up are few."""
        bucket = permits.PermitBucket(0)
        start_ms = 60_000
        taken = sum(
            bucket.take(rate_per_s, True, now_ms) == 0
            for now_ms in range(start_ms, start_ms + SPAN_MS, STEP_MS)
        )
        span_s = SPAN_MS / 1000
        allowed = rate_per_s * span_s * OVERAGE_RATIO + SLACK_REQUESTS
        assert 0 < taken <= allowed

    def test_returned_wait_is_the_time_of_the_next_permit(self) -> None:
        """A caller that comes back then finds a permit."""
        bucket = permits.PermitBucket(0)
        wait_ms = bucket.take(0.4, True, 0)
        assert wait_ms == 2_500
        assert bucket.take(0.4, True, wait_ms - 1) > 0
        assert bucket.take(0.4, True, wait_ms) == 0

    def test_urgent_request_finds_a_permit_that_others_leave(self) -> None:
        """Other requests take all permits but the reserved one."""
        bucket = permits.PermitBucket(0)
        for now_ms in range(0, 20_000, STEP_MS):
            bucket.take(1.0, False, now_ms)
        assert bucket.take(1.0, True, 20_000) == 0

    def test_limit_that_falls_leaves_no_permits_of_the_earlier_one(
        self,
    ) -> None:
        """A bucket that was full at a high limit holds few at a low one."""
        bucket = permits.PermitBucket(0)
        assert bucket.take(50.0, True, 60_000) == 0
        taken = sum(
            bucket.take(0.4, True, now_ms) == 0
            for now_ms in range(60_000, 60_000 + SPAN_MS, STEP_MS)
        )
        allowed = 0.4 * SPAN_MS / 1000 * OVERAGE_RATIO + SLACK_REQUESTS
        assert taken <= allowed
