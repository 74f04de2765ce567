"""Whether a request can meet its deadline, and when to retry if not.

Under overload, a request whose answer would miss its deadline is refused at
once, so that replicas spend their time on requests that can be served.  The
caller receives the wait after which there should be capacity.  The whole
answer must meet the deadline, since a truncated answer has no value.
"""

import random

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5_000
MS_PER_ANSWER_TOKEN = 11.0  # engines need 7 ms, and more under load
# Longer waits are spread over the callers, by up to this part of them.
MIN_SPREAD_WAIT_MS = 1_000
SPREAD_FRACTION = 0.25
USABLE_TIME_FRACTION = 0.9  # of the remaining time, for a prediction


def answer_ms(tokens: int) -> float:
    """Return the duration in ms of an answer after its first event."""
    return tokens * MS_PER_ANSWER_TOKEN


def excess_ms(predicted_ms: float, remaining_ms: float) -> float:
    """Return by how much a prediction exceeds the usable time, in ms.

    If the result is above 0, the deadline would probably be missed.
    """
    return predicted_ms - remaining_ms * USABLE_TIME_FRACTION


def spread_retry_after_ms(wait_ms: float) -> int:
    """Return the time after which a caller should come back, in ms.

    Callers that wait for the same moment come back one after the other.
    """
    if wait_ms >= MIN_SPREAD_WAIT_MS:
        wait_ms += random.uniform(0, SPREAD_FRACTION * wait_ms)
    return max(MIN_RETRY_AFTER_MS, round(wait_ms))


def retry_after_ms(excess_ms: float) -> int:
    """Return the wait in ms before a retry that could meet its deadline."""
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms)))
