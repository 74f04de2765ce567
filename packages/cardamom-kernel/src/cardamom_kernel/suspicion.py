"""Isolation of requests that crash every target that runs them.

A request that was in flight on a target when the target crashed is a suspect.
The score of its fingerprint is the number of distinct target incarnations
that crashed while they ran it.
"""

import dataclasses
import hashlib
import heapq
import typing

from cardamom_kernel import clocks

CRASHES_TO_REFUSE = 2
SUSPECT_RETENTION_MS = 600_000
MAX_EXPORTED = 200  # about 15 KB


@dataclasses.dataclass
class _Entry:
    losses: set[str]
    noted_ms: int


@dataclasses.dataclass(frozen=True)
class SuspectReport:
    """One suspect, as instances exchange it.

    ``losses`` holds the incarnations that crashed; ``age_ms`` is the time
    since the last crash, or since the retention was extended.
    """

    fingerprint: str
    losses: tuple[str, ...]
    age_ms: int


class Suspicions:
    """Crash counts by request fingerprint, merged between instances.

    A suspect is forgotten ``retention_ms`` after its last crash.
    ``on_counted_again`` is called with a suspect whose crashes had been put
    down to another one, which has proved sound.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        retention_ms: int = SUSPECT_RETENTION_MS,
        crashes_to_refuse: int = CRASHES_TO_REFUSE,
    ) -> None:
        self.clock = clock
        self.retention_ms = retention_ms
        self.crashes_to_refuse = crashes_to_refuse
        self._by_fingerprint: dict[str, _Entry] = {}
        self.on_counted_again: typing.Callable[[str], None] = _do_nothing

    def record_crash(
        self,
        fingerprint: str,
        incarnation: str,
        age_ms: int = 0,
    ) -> int:
        """Record that an incarnation crashed while it ran a request.

        ``age_ms`` is the time since the crash.  Returns the number of
        distinct incarnations that the fingerprint has crashed.
        """
        noted_ms = self.clock.now_ms() - age_ms
        entry = self._current_entry(fingerprint)
        if entry is None:
            entry = _Entry(set(), noted_ms)
            self._by_fingerprint[fingerprint] = entry
        entry.losses.add(incarnation)
        entry.noted_ms = max(entry.noted_ms, noted_ms)
        return len(entry.losses)

    def clear(self, fingerprint: str) -> bool:
        """Forget a suspect whose request has finished without a crash.

        A refused fingerprint is kept until its retention time ends.  Returns
        whether a suspect was forgotten.
        """
        if self.is_refused(fingerprint):
            return False
        return self.forget(fingerprint)

    def forget(self, fingerprint: str) -> bool:
        """Forget a suspect; return whether there was one."""
        return self._by_fingerprint.pop(fingerprint, None) is not None

    def is_sound(self, fingerprint: str) -> bool:
        """Return whether reports of a suspect are known to be wrong."""
        return False

    def extend(self, fingerprint: str) -> None:
        """Begin the retention of a suspect anew."""
        entry = self._current_entry(fingerprint)
        if entry is not None:
            entry.noted_ms = self.clock.now_ms()

    def withdraw(
        self, fingerprint: str, incarnations: typing.Collection[str]
    ) -> None:
        """Take crashes off a suspect, which something else has caused."""
        entry = self._by_fingerprint[fingerprint]
        entry.losses.difference_update(incarnations)
        if not entry.losses:
            self.forget(fingerprint)

    def fingerprints(self) -> list[str]:
        """Return the fingerprints of all suspects."""
        return [f for f in list(self._by_fingerprint) if self.is_suspect(f)]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request must run apart from other suspects."""
        return self._current_entry(fingerprint) is not None

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request crashed enough targets to be refused."""
        entry = self._current_entry(fingerprint)
        return entry is not None and len(entry.losses) >= (
            self.crashes_to_refuse
        )

    def retry_after_ms(self, fingerprint: str) -> int:
        """Return the remaining retention in ms, or 0 if not a suspect."""
        entry = self._current_entry(fingerprint)
        if entry is None:
            return 0
        return entry.noted_ms + self.retention_ms - self.clock.now_ms()

    def report(self, fingerprint: str) -> SuspectReport | None:
        """Return the report of one suspect, None if it is not suspected."""
        entry = self._current_entry(fingerprint)
        if entry is None:
            return None
        return SuspectReport(
            fingerprint,
            tuple(sorted(entry.losses)),
            self.clock.now_ms() - entry.noted_ms,
        )

    def export(self, limit: int = MAX_EXPORTED) -> list[SuspectReport]:
        """Return at most ``limit`` suspects, for an instance that has none.

        Those with the most crashes come first, then the latest ones.
        """
        reports = [
            report
            for fingerprint in list(self._by_fingerprint)
            if (report := self.report(fingerprint)) is not None
        ]
        return heapq.nsmallest(
            limit, reports, key=lambda r: (-len(r.losses), r.age_ms)
        )

    def refused(self) -> list[SuspectReport]:
        """Return the reports of all refused suspects."""
        return [
            report
            for fingerprint in list(self._by_fingerprint)
            if self.is_refused(fingerprint)
            and (report := self.report(fingerprint)) is not None
        ]

    def merge(self, reports: typing.Iterable[SuspectReport]) -> None:
        """Add the suspects that a peer has reported.

        Ages are part of the message, so an exchange between instances does
        not restart the retention time.
        """
        for report in reports:
            if report.age_ms > self.retention_ms:
                continue
            for incarnation in report.losses:
                self.record_crash(
                    report.fingerprint, incarnation, report.age_ms
                )

    def _current_entry(self, fingerprint: str) -> _Entry | None:
        entry = self._by_fingerprint.get(fingerprint)
        if entry is None:
            return None
        if self.clock.now_ms() - entry.noted_ms > self.retention_ms:
            del self._by_fingerprint[fingerprint]
            return None
        return entry


def _do_nothing(fingerprint: str) -> None:
    """Serve as default for ``on_counted_again``."""


def fingerprint_of(team: str, model: str, body: bytes) -> str:
    """Return a fingerprint of 32 hex digits.

    It is equal for repeats of a request with the same team, model and body.
    """
    digest = hashlib.sha256(f"{team}\n{model}\n".encode())
    digest.update(body)
    return digest.hexdigest()[:32]
