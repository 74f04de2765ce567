"""A retry budget: retries stay a bounded part of the traffic."""

RESERVE_RETRIES = 10.0


class RetryBudget:
    """Earns a part of a retry with each first attempt.

    The bound is on each instance's own traffic, so it holds for the sum.
    """

    def __init__(
        self, percent: float, reserve: float = RESERVE_RETRIES
    ) -> None:
        self._percent = percent
        self._reserve = reserve
        self._balance = reserve

    def configure(self, percent: float) -> None:
        """Set the part of first attempts, in percent."""
        self._percent = percent

    def earn(self) -> None:
        """Count a first attempt."""
        self._balance = min(
            max(self._reserve, 100.0),
            self._balance + self._percent / 100,
        )

    def take(self) -> bool:
        """Pay for one retry, or tell that there is no budget."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
