"""What a request costs, and whether its deadline can still be met."""

import dataclasses
import typing

CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class Cost:
    """The tokens that a request may take at most."""

    prompt_tokens: int
    answer_tokens: int

    @property
    def total(self) -> int:
        """Return the tokens to charge before the request runs."""
        return self.prompt_tokens + self.answer_tokens


def prompt_tokens(texts: typing.Iterable[str]) -> int:
    """Estimate the tokens of a prompt; at least 1."""
    characters = sum(len(text) for text in texts)
    return max(1, -(-characters // CHARACTERS_PER_TOKEN))


class WaitEstimate:
    """Predicts the wait in a queue from how fast it was lately served."""

    WINDOW_MS = 2_000

    def __init__(self) -> None:
        self._per_ms = 0.0
        self._updated_ms: int | None = None

    def served(self, tokens: float, now_ms: int) -> None:
        """Count tokens that left the queue."""
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_ms = max(0, now_ms - self._updated_ms)
        keep = max(0.0, 1.0 - elapsed_ms / self.WINDOW_MS)
        self._per_ms = self._per_ms * keep + tokens / self.WINDOW_MS
        self._updated_ms = now_ms

    def wait_ms(self, queued_tokens: float) -> float:
        """Return the expected wait behind the queued tokens."""
        if queued_tokens <= 0 or self._per_ms <= 0:
            return 0.0
        return queued_tokens / self._per_ms
