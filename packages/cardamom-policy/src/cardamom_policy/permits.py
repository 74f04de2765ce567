"""Permits for requests to a replica that limits its rate of requests.

A replica in need states how many requests a second it takes from all of its
callers together.  Whoever counts for the whole fleet keeps a token bucket; a
request is sent only with one of its permits.  Permits are few, so that some
are reserved for the most urgent requests.
"""

import math

# Permits that may be saved up, beside those of BURST_S.
BURST_PERMITS = 2.0
BURST_S = 1.0
# Permits that only the most urgent requests may take.
RESERVED_PERMITS = 1.0
# A replica tells only in its answers that its limit has changed, so that even
# one that takes none gets a request now and then.
MIN_RATE_PER_S = 0.1
MS_PER_S = 1000


class PermitBucket:
    """The permits for one replica; empty at first.

    What was sent before isn't known to one that begins to count.
    """

    def __init__(self, now_ms: int) -> None:
        self._permits = 0.0
        self._filled_ms = now_ms

    def take(self, rate_per_s: float, is_urgent: bool, now_ms: int) -> int:
        """Take a permit; return 0, or the ms until there may be one."""
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self._fill(rate_per_s, now_ms)
        needed = 1.0 if is_urgent else 1.0 + RESERVED_PERMITS
        missing = needed - self._permits
        if missing > 0:
            return math.ceil(missing / rate_per_s * MS_PER_S)
        self._permits -= 1
        return 0

    def _fill(self, rate_per_s: float, now_ms: int) -> None:
        elapsed_s = max(0, now_ms - self._filled_ms) / MS_PER_S
        self._filled_ms = now_ms
        self._permits = min(
            BURST_PERMITS + BURST_S * rate_per_s,
            self._permits + elapsed_s * rate_per_s,
        )
