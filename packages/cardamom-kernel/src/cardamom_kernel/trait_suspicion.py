"""Isolation of a trait under which every target crashes.

A trait is something that many requests share, such as a part of their prompts.
A crash accuses all traits of the requests that were in flight, and most of
them are sound.  What tells them apart is that answers finish under a sound
trait, and never under the other one.  A trait is refused once enough targets
have crashed under it and no answer has finished lately.
"""

import collections
import typing

from cardamom_kernel import clocks
from cardamom_kernel import suspicion

CRASHES_TO_REFUSE = 3
# After an answer under a trait, crashes don't accuse it for this time.
SOUND_MS = 30_000
RETENTION_MS = 600_000
# Targets that may crash before a refused trait is no longer tried.
MAX_TRIED_CRASHES = 5
FIRST_TRIAL_MS = 5_000  # from the last crash to a trial, then doubled
MAX_SOUND_TRAITS = 20_000  # about 4 MB
MAX_EXPLAINED_TRAITS = 2_000  # about 1 MB


class TraitSuspicions(suspicion.Suspicions):
    """Crash counts by digest of a trait, merged between instances."""

    def __init__(
        self, clock: clocks.Clock, retention_ms: int = RETENTION_MS
    ) -> None:
        super().__init__(clock, retention_ms, CRASHES_TO_REFUSE)
        self._sound_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._next_trial_ms: dict[str, int] = {}
        # When crashes happened that a refused trait explains, by incarnation.
        self._explained_ms: collections.OrderedDict[str, dict[str, int]] = (
            collections.OrderedDict()
        )

    def record_crash(
        self, fingerprint: str, incarnation: str, age_ms: int = 0
    ) -> int:
        """Record that an incarnation crashed under a trait.

        A crash doesn't count against a trait that is sound, nor while a
        refused trait explains it.  Returns the number of distinct
        incarnations that have crashed under the trait.
        """
        if self.is_sound(fingerprint):
            return 0
        if self._is_explained(fingerprint, incarnation):
            self._set_aside(fingerprint, [incarnation], age_ms)
            return 0
        return self._add(fingerprint, incarnation, age_ms)

    def _add(self, fingerprint: str, incarnation: str, age_ms: int) -> int:
        was_refused = self.is_refused(fingerprint)
        crashes = super().record_crash(fingerprint, incarnation, age_ms)
        if crashes >= self.crashes_to_refuse:
            self._withdraw_explained(fingerprint)
            if not was_refused:
                self._schedule_trial(fingerprint, crashes)
        return crashes

    def merge(self, reports: typing.Iterable[suspicion.SuspectReport]) -> None:
        """Add the traits that a peer has reported.

        A report of a refused trait counts also if another refused trait
        explains its crashes, since either may be the cause.
        """
        for report in reports:
            if report.age_ms > self.retention_ms:
                continue
            is_refused = len(report.losses) >= self.crashes_to_refuse
            for incarnation in report.losses:
                if is_refused and not self.is_sound(report.fingerprint):
                    self._add(report.fingerprint, incarnation, report.age_ms)
                else:
                    self.record_crash(
                        report.fingerprint, incarnation, report.age_ms
                    )

    def clear(self, fingerprint: str) -> bool:
        """Record that an answer has finished under a trait.

        Returns whether it was suspected or refused.  Crashes that it seemed
        to explain count against the other traits again.
        """
        report = self.report(fingerprint)
        self._sound_ms[fingerprint] = self.clock.now_ms()
        self._sound_ms.move_to_end(fingerprint)
        if len(self._sound_ms) > MAX_SOUND_TRAITS:
            self._sound_ms.popitem(last=False)
        self._next_trial_ms.pop(fingerprint, None)
        self._explained_ms.pop(fingerprint, None)
        is_forgotten = self.forget(fingerprint)
        if report is not None:
            self._count_again(set(report.losses))
        return is_forgotten

    def is_sound(self, fingerprint: str) -> bool:
        """Return whether an answer has finished under a trait lately."""
        sound_ms = self._sound_ms.get(fingerprint, clocks.NEVER_MS)
        return self.clock.now_ms() - sound_ms <= SOUND_MS

    def note_refused(self, fingerprint: str) -> None:
        """Record that a request was refused, which extends the retention."""
        self.extend(fingerprint)

    def take_trial(self, fingerprint: str) -> bool:
        """Return whether one request may run under a refused trait now.

        Few crashes may be a coincidence, so the trait is tried again, after a
        longer pause each time.
        """
        report = self.report(fingerprint)
        crashes = len(report.losses) if report else 0
        now_ms = self.clock.now_ms()
        if crashes >= MAX_TRIED_CRASHES or now_ms < self._next_trial_ms.get(
            fingerprint, clocks.FOREVER_MS
        ):
            return False
        self._schedule_trial(fingerprint, crashes + 1)
        return True

    def _schedule_trial(self, fingerprint: str, crashes: int) -> None:
        pause_ms = FIRST_TRIAL_MS << (crashes - self.crashes_to_refuse)
        self._next_trial_ms = {
            refused: at_ms
            for refused, at_ms in self._next_trial_ms.items()
            if self.is_refused(refused)
        } | {fingerprint: self.clock.now_ms() + pause_ms}

    def _is_explained(self, fingerprint: str, incarnation: str) -> bool:
        if self.is_refused(fingerprint):
            return False
        return any(incarnation in report.losses for report in self.refused())

    def _withdraw_explained(self, refused: str) -> None:
        """Take the crashes of a refused trait off all other suspects."""
        explained = self.report(refused)
        assert explained is not None
        for fingerprint in self.fingerprints():
            report = self.report(fingerprint)
            if report is None or self.is_refused(fingerprint):
                continue
            shared = set(report.losses) & set(explained.losses)
            if shared:
                self._set_aside(fingerprint, shared, report.age_ms)
                self.withdraw(fingerprint, shared)

    def _set_aside(
        self,
        fingerprint: str,
        incarnations: typing.Iterable[str],
        age_ms: int,
    ) -> None:
        """Keep crashes of a trait that a refused trait explains."""
        crashed_ms = self._explained_ms.setdefault(fingerprint, {})
        crashed_ms |= dict.fromkeys(incarnations, self.clock.now_ms() - age_ms)
        self._explained_ms.move_to_end(fingerprint)
        if len(self._explained_ms) > MAX_EXPLAINED_TRAITS:
            self._explained_ms.popitem(last=False)

    def _count_again(self, incarnations: typing.Collection[str]) -> None:
        """Record crashes anew that a trait explained until it was cleared."""
        now_ms = self.clock.now_ms()
        for fingerprint, crashed_ms in list(self._explained_ms.items()):
            ages_ms = {
                incarnation: now_ms - at_ms
                for incarnation, at_ms in crashed_ms.items()
                if incarnation in incarnations
                and now_ms - at_ms <= self.retention_ms
            }
            for incarnation in ages_ms:
                del crashed_ms[incarnation]
            if not crashed_ms:
                self._explained_ms.pop(fingerprint, None)
            # A list, as each crash has to be recorded.
            if any(
                [
                    self.record_crash(fingerprint, incarnation, age_ms)
                    for incarnation, age_ms in ages_ms.items()
                ]
            ):
                self.on_counted_again(fingerprint)
