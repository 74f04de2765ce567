"""Whether a request can still be served, and when to come back if not.

It answers for overload: a request whose answer would miss its deadline is
refused at once, so that the replicas' time goes to those that can be served,
and its caller learns after which wait there will be room.  The whole answer
must meet the deadline: one that is cut short is worth nothing.
"""

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5_000
STEP_MS = 11.0  # for a token; engines need 7 ms and more with their load
SAFETY = 0.9  # part of the time left that a prediction may fill


def answer_ms(tokens: int) -> float:
    """Return how long an answer takes after its first event."""
    return tokens * STEP_MS


def excess_ms(predicted_ms: float, left_ms: float) -> float:
    """Return by how much a prediction exceeds what may be counted on.

    Above 0 the deadline would be missed.
    """
    return predicted_ms - left_ms * SAFETY


def retry_after_ms(excess_ms: float) -> int:
    """Return the wait after which the answer would meet the deadline."""
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms)))
