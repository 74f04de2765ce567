"""A retry budget, which limits retries to a part of the traffic."""

RESERVE_RETRIES = 10.0  # allowed before any first attempt was counted


class RetryBudget:
    """Allows retries as a percentage of first attempts.

    Each instance limits the retries of its own traffic, so the limit also
    holds for all instances together.
    """

    def __init__(
        self, percent: float, reserve: float = RESERVE_RETRIES
    ) -> None:
        self._percent = percent
        self._reserve = reserve
        self._balance = reserve

    def configure(self, percent: float) -> None:
        """Set the allowed retries, in percent of first attempts."""
        self._percent = percent

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds to the budget."""
        self._balance = min(
            max(self._reserve, 100.0),
            self._balance + self._percent / 100,
        )

    def try_retry(self) -> bool:
        """Use the budget for one retry; return whether it is allowed."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
