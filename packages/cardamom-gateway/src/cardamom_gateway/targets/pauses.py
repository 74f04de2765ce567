"""The time for which a target has said that it wants no requests.

That concerns this instance alone.  When the time is over, one request is sent
first; the others follow once the target has answered it.
"""

import random
import typing

from cardamom_kernel import clocks

# A longer time is taken for this one; then one request is tried.
MAX_PAUSE_MS = 60_000
# The instances return at different moments, within this part of the pause.
SPREAD_FRACTION = 0.1
MAX_SPREAD_MS = 500
# Until the answer to the first request after a pause may have come.
TRIAL_WAIT_MS = 100


class Pause:
    """Whether a target may get requests from here."""

    def __init__(self) -> None:
        self._until_ms: int = clocks.NEVER_MS
        self._needs_trial = False

    def begin(self, now_ms: int, stated_ms: int) -> bool:
        """Begin or extend a pause; return whether it begins."""
        is_new = now_ms >= self._until_ms
        duration_ms = min(stated_ms, MAX_PAUSE_MS)
        spread_ms = min(MAX_SPREAD_MS, duration_ms * SPREAD_FRACTION)
        until_ms = now_ms + duration_ms + round(random.uniform(0, spread_ms))
        self._until_ms = max(self._until_ms, until_ms)
        self._needs_trial = True
        return is_new

    def note_answer(self, now_ms: int) -> None:
        """Record an answer of the target that states no pause."""
        if now_ms >= self._until_ms:
            self._needs_trial = False

    def wait_ms(self, now_ms: int, starts_ms: typing.Iterable[int]) -> int:
        """Return the ms until the target may get a request, 0 for now.

        ``starts_ms`` are the times at which requests in flight were sent.
        """
        if not self._needs_trial:
            return 0
        if now_ms < self._until_ms:
            return self._until_ms - now_ms
        has_trial = any(start_ms >= self._until_ms for start_ms in starts_ms)
        return TRIAL_WAIT_MS if has_trial else 0
