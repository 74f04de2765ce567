"""Isolation of requests that crash every target that runs them.

A request in flight on a target that died is a suspect.  Its fingerprint is
scored by the distinct incarnations of targets that were lost under it.
"""

import dataclasses
import hashlib
import typing

from cardamom_kernel import clocks

LOSSES_TO_REFUSE = 2
SUSPICION_MS = 600_000


@dataclasses.dataclass
class _Entry:
    losses: set[str]
    noted_ms: int


@dataclasses.dataclass(frozen=True)
class SuspectNote:
    """One suspect as instances tell each other of it."""

    fingerprint: str
    losses: tuple[str, ...]
    age_ms: int


class Suspicions:
    """Scores of fingerprints, merged between instances."""

    def __init__(
        self,
        clock: clocks.Clock,
        retention_ms: int = SUSPICION_MS,
    ) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._by_fingerprint: dict[str, _Entry] = {}

    def record_loss(
        self,
        fingerprint: str,
        incarnation: str,
        age_ms: int = 0,
    ) -> int:
        """Count a lost incarnation and return the score."""
        noted_ms = self._clock.now_ms() - age_ms
        entry = self._current(fingerprint)
        if entry is None:
            entry = _Entry(set(), noted_ms)
            self._by_fingerprint[fingerprint] = entry
        entry.losses.add(incarnation)
        entry.noted_ms = max(entry.noted_ms, noted_ms)
        return len(entry.losses)

    def clear(self, fingerprint: str) -> None:
        """Forget a suspect that has finished without harm.

        A fingerprint that is refused stays so until it is forgotten by age.
        """
        if not self.is_refused(fingerprint):
            self._by_fingerprint.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request must run apart from other suspects."""
        return self._current(fingerprint) is not None

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether a request has cost enough targets to be refused."""
        entry = self._current(fingerprint)
        return entry is not None and len(entry.losses) >= LOSSES_TO_REFUSE

    def retry_after_ms(self, fingerprint: str) -> int:
        """Return how long the refusal of a fingerprint lasts."""
        entry = self._current(fingerprint)
        if entry is None:
            return 0
        return entry.noted_ms + self._retention_ms - self._clock.now_ms()

    def export(self) -> list[SuspectNote]:
        """Return what is known of each suspect, for peers."""
        now_ms = self._clock.now_ms()
        return [
            SuspectNote(
                fingerprint,
                tuple(sorted(entry.losses)),
                now_ms - entry.noted_ms,
            )
            for fingerprint, entry in list(self._by_fingerprint.items())
            if self._current(fingerprint) is not None
        ]

    def merge(self, notes: typing.Iterable[SuspectNote]) -> None:
        """Add what a peer knows; ages travel, so nothing is renewed."""
        for note in notes:
            if note.age_ms > self._retention_ms:
                continue
            for incarnation in note.losses:
                self.record_loss(note.fingerprint, incarnation, note.age_ms)

    def _current(self, fingerprint: str) -> _Entry | None:
        entry = self._by_fingerprint.get(fingerprint)
        if entry is None:
            return None
        if self._clock.now_ms() - entry.noted_ms > self._retention_ms:
            del self._by_fingerprint[fingerprint]
            return None
        return entry


def fingerprint_of(team: str, model: str, body: bytes) -> str:
    """Return the fingerprint of a request, stable over its repeats."""
    digest = hashlib.sha256(f"{team}\n{model}\n".encode())
    digest.update(body)
    return digest.hexdigest()[:32]
