"""Permits for requests to a replica that limits its rate of requests.

A replica in need states how many requests a second it takes from all of its
callers together.  Whoever counts for the whole fleet keeps a token bucket; a
request is sent only with one of its permits.  Permits are few, so that some
are reserved for the most urgent requests.

A cold replica is treated alike, at the rate and the burst that it bears
(``cold_starts``).
"""

import math
import random

from cardamom_policy import cold_starts

# Permits that may be saved up, beside those of BURST_S.
BURST_PERMITS = 2.0
BURST_S = 1.0
# Permits that only the most urgent requests may take.
RESERVED_PERMITS = 1.0
# A replica tells only in its answers that its limit has changed, so that even
# one that takes none gets a request now and then.
MIN_RATE_PER_S = 0.1
# Another bucket may have been used during so long a time without requests.
IDLE_MS = 1_000
MS_PER_S = 1000


class PermitBucket:
    """The permits for one replica; empty at first.

    What was sent before isn't known to one that begins to count.
    """

    def __init__(self, now_ms: int) -> None:
        self._permits = 0.0
        self._filled_ms = now_ms
        # When the next request is expected; None before the first.
        self._expected_ms: int | None = None

    def take(
        self,
        rate_per_s: float,
        is_urgent: bool,
        now_ms: int,
        cold: cold_starts.ColdBound | None = None,
    ) -> int:
        """Take a permit; return 0, or the ms until there may be one.

        A replica that is cold has a bound beside its rate; the lower of the
        two applies.  ``rate_per_s`` may then be infinite.
        """
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        if cold is not None:
            rate_per_s = min(rate_per_s, cold.rate_per_s)
        capacity = BURST_PERMITS + BURST_S * rate_per_s
        if cold is not None:
            capacity = max(1.0, min(capacity, cold.burst))
        self._fill(rate_per_s, capacity, now_ms)
        if cold is not None and self._is_idle(now_ms):
            self._drop_idle_permits(cold)
        needed = 1.0 if is_urgent else 1.0 + RESERVED_PERMITS
        missing = min(needed, capacity) - self._permits
        if missing > 0:
            wait_ms = math.ceil(missing / rate_per_s * MS_PER_S)
            self._expected_ms = now_ms + wait_ms
            return wait_ms
        self._permits -= 1
        self._expected_ms = now_ms
        return 0

    def _fill(self, rate_per_s: float, capacity: float, now_ms: int) -> None:
        elapsed_s = max(0, now_ms - self._filled_ms) / MS_PER_S
        self._filled_ms = now_ms
        self._permits = min(capacity, self._permits + elapsed_s * rate_per_s)

    def _is_idle(self, now_ms: int) -> bool:
        return (
            self._expected_ms is None or now_ms - self._expected_ms > IDLE_MS
        )

    def _drop_idle_permits(self, cold: cold_starts.ColdBound) -> None:
        """Drop the permits that were saved up without requests.

        Where this is one of many buckets that each hold a small share, all of
        them begin at random moments, so that their permits don't coincide.
        """
        if cold.burst < 1.0:
            self._permits = min(self._permits, -random.random())
        else:
            self._permits = min(self._permits, cold_starts.IDLE_PERMITS)
