"""The token cost of a request, and the expected wait in its queue."""

import dataclasses
import typing

CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class Cost:
    """The maximum number of tokens that a request may use."""

    prompt_tokens: int
    answer_tokens: int

    @property
    def total(self) -> int:
        """Return the number of tokens to charge before the request runs."""
        return self.prompt_tokens + self.answer_tokens


def prompt_tokens(texts: typing.Iterable[str]) -> int:
    """Estimate the number of tokens of a prompt; at least 1."""
    characters = sum(len(text) for text in texts)
    return max(1, -(-characters // CHARACTERS_PER_TOKEN))


class WaitEstimate:
    """Predicts the wait in a queue from its recent service rate."""

    WINDOW_MS = 2_000

    def __init__(self) -> None:
        self._tokens_per_ms = 0.0
        self._updated_ms: int | None = None

    def record_served(self, tokens: float, now_ms: int) -> None:
        """Count tokens of entries that were served from the queue."""
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_ms = max(0, now_ms - self._updated_ms)
        kept_fraction = max(0.0, 1.0 - elapsed_ms / self.WINDOW_MS)
        self._tokens_per_ms = (
            self._tokens_per_ms * kept_fraction + tokens / self.WINDOW_MS
        )
        self._updated_ms = now_ms

    def wait_ms(self, queued_tokens: float) -> float:
        """Return the expected wait in ms behind the queued tokens.

        0 if nothing is queued or no service rate is available.
        """
        if queued_tokens <= 0 or self._tokens_per_ms <= 0:
            return 0.0
        return queued_tokens / self._tokens_per_ms
