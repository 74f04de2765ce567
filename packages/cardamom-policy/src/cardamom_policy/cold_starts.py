"""The rate and the burst at which a cold replica gets requests.

A replica that has just started bears only a few requests a second from all
of its callers together, and crashes well above that.  Starts come during full
traffic, often of many replicas at once, so that every caller would send to
them in the same moment.  The bound holds in any second, by the replica's
clock, and requests arrive some ms after their permits were given.
"""

import dataclasses

# Part of the bound that permits use.  The remainder covers requests that
# arrive up to 0.4 s later than others whose permits were given with theirs.
USED_RATIO = 0.8
# A bucket keeps one permit over an idle time, which may be given in the same
# second as the whole burst of another owner.
IDLE_PERMITS = 1.0
# Fewer would keep all but the most urgent requests from a replica.
MIN_BURST = 2.0
# Where the bound leaves nothing beside the burst, a replica still gets some.
MIN_RATE_RATIO = 0.1


@dataclasses.dataclass(frozen=True)
class ColdBound:
    """The permits a second for a cold replica, and how many may be saved up.

    Both are for all callers together.
    """

    rate_per_s: float
    burst: float

    def scaled(self, share: float) -> "ColdBound":
        """Return the part of the bound that a share of the callers may use."""
        return ColdBound(self.rate_per_s * share, self.burst * share)


def find_bound(
    rate_per_s: float, overage: float, tolerance: float
) -> ColdBound:
    """Return the permits for a cold replica.

    It may get ``overage`` times its rate and ``tolerance`` more requests in a
    second.  If that leaves no room for a burst, the rate is lowered.
    """
    usable = USED_RATIO * (rate_per_s * overage + tolerance)
    burst = usable - rate_per_s - IDLE_PERMITS
    if burst >= MIN_BURST:
        return ColdBound(rate_per_s, burst)
    burst = max(1.0, min(MIN_BURST, usable / 2))
    least_per_s = MIN_RATE_RATIO * rate_per_s
    remaining_per_s = max(least_per_s, usable - burst - IDLE_PERMITS)
    return ColdBound(min(rate_per_s, remaining_per_s), burst)
