"""Which targets are cold, and how many requests they may get.

A target's entry says for how long it stays cold.  The time counts from when
the entry is read here, since it was on its way for a while: a target counts
as cold for too long rather than for too short.
"""

import dataclasses
import enum
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_policy import cold_starts

from cardamom_gateway import model

LOG = structlog.get_logger("cardamom.gateway.targets")


class Reason(enum.Enum):
    """Why a target counts as cold."""

    STATED = "stated"
    UNKNOWN = "unknown"
    NOTED = "noted"


def _ignore_reason(reason: Reason) -> None:
    """Serve as default for ``on_cold``."""


@dataclasses.dataclass(frozen=True)
class ColdRule:
    """How long targets of a service are cold, and what they bear then."""

    start_ms: int
    bound: cold_starts.ColdBound


class ColdRules:
    """The rules of the services that have cold targets.

    While ``is_cut_off``, this instance can't know which targets are cold, so
    that all of these services count as cold.  ``on_cold`` is called whenever
    a target begins to count as cold.
    """

    def __init__(self) -> None:
        self.by_service: dict[model.ServiceId, ColdRule] = {}
        self.is_cut_off = False
        self.on_cold: typing.Callable[[Reason], None] = _ignore_reason

    def set_services(
        self,
        services: typing.Iterable[model.Service],
        overage: float,
        tolerance: float,
    ) -> None:
        """Set the rules of all services in force."""
        self.by_service = {
            service.id: ColdRule(
                service.cold_start_ms,
                cold_starts.find_bound(
                    service.cold_rate_per_s, overage, tolerance
                ),
            )
            for service in services
            if service.cold_rate_per_s > 0
        }


class ColdState:
    """Until when one incarnation of a target counts as cold."""

    def __init__(
        self, rules: ColdRules, service: model.ServiceId, target: ids.TargetId
    ) -> None:
        self._rules = rules
        self._service = service
        self._target = target
        self._stated_until_ms: int = clocks.NEVER_MS
        self._noted_until_ms: int = clocks.NEVER_MS

    def note_stated(self, now_ms: int, warmup_ms: int) -> None:
        """Record what the target has stated, 0 for a warm one."""
        was_cold = now_ms < self._stated_until_ms
        self._stated_until_ms = now_ms + warmup_ms
        if warmup_ms and not was_cold:
            self._report(Reason.STATED, warmup_ms)

    def note_unknown(self, now_ms: int) -> None:
        """Record that what the target stated may be outdated."""
        rule = self._rules.by_service.get(self._service)
        if rule is None:
            return
        until_ms = now_ms + rule.start_ms
        self._stated_until_ms = max(self._stated_until_ms, until_ms)
        self._report(Reason.UNKNOWN, rule.start_ms)

    def note_cold(self, until_ms: int) -> None:
        """Let the target count as cold until a time, whatever it states."""
        if until_ms > self._noted_until_ms:
            self._noted_until_ms = until_ms
            self._report(Reason.NOTED, None)

    def _report(self, reason: Reason, warmup_ms: int | None) -> None:
        if self._service not in self._rules.by_service:
            return
        self._rules.on_cold(reason)
        LOG.info(
            "targets: cold",
            target=self._target,
            reason=reason.value,
            warmup_ms=warmup_ms,
        )

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the target counts as cold."""
        return self.bound(now_ms) is not None

    def bound(self, now_ms: int) -> cold_starts.ColdBound | None:
        """Return what the whole fleet may send, None for a warm target."""
        rule = self._rules.by_service.get(self._service)
        if rule is None:
            return None
        until_ms = max(self._stated_until_ms, self._noted_until_ms)
        is_cold = self._rules.is_cut_off or now_ms < until_ms
        return rule.bound if is_cold else None


def of_entry(
    rules: ColdRules,
    target: model.Target,
    known: ColdState | None,
    now_ms: int,
    is_after_outage: bool,
) -> ColdState:
    """Return the state of a target whose entry begins a new record.

    ``known`` is the state of the same incarnation at another address.  What
    the first entry after an outage of the store states may be outdated; later
    entries are believed.
    """
    state = known or ColdState(rules, target.service, target.id)
    if known is None or target.warmup_ms:
        state.note_stated(now_ms, target.warmup_ms)
    if known is None and is_after_outage:
        state.note_unknown(now_ms)
    return state
