"""What is known of one target: its load, failures, limits and holdings."""

import collections
import dataclasses
import typing

from cardamom_kernel import clocks
from cardamom_policy import cold_starts
from cardamom_policy import dispatching
from cardamom_policy import even_load
from cardamom_policy import speeds

from cardamom_gateway.engines import holdings as holdings_module
from cardamom_gateway import model
from cardamom_gateway.targets import brittle_services
from cardamom_gateway.targets import cold_targets
from cardamom_gateway.targets import pauses

FAILURE_WEIGHT = 0.2  # of one outcome in the moving average of failures
FIRST_SUSPECT_MS = 400  # first pause after a failure to reach a target
MAX_SUSPECT_MS = 3_000  # longest pause; an entry expires about as fast
MAX_HOLDINGS_AGE_MS = 5_000  # older holdings from the lease holder are ignored
MAX_PEER_LOAD_AGE_MS = 1_500  # a peer's older load is not counted


@dataclasses.dataclass
class Load:
    """Requests of this instance at one target."""

    running: int = 0
    prefill_tokens: float = 0.0
    by_model_and_adapter: collections.Counter[model.ModelAndAdapter] = (
        dataclasses.field(default_factory=collections.Counter)
    )

    def in_use(self) -> dict[model.ModelAndAdapter, int]:
        """Return the number of running requests by model and adapter."""
        return {
            r: n for r, n in self.by_model_and_adapter.items() if n and r[0]
        }


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """Requests of another instance at one target."""

    at_ms: int
    running: int
    prefill_tokens: float
    by_model_and_adapter: typing.Mapping[model.ModelAndAdapter, int]


LimitValues = tuple[float | None, int | None]


@dataclasses.dataclass(frozen=True)
class StatedLimit:
    """What a target stated of its limits on requests, at a time.

    ``rate_per_s`` is the limit for all instances together, and
    ``tolerated_rejections`` how many requests a second it may reject for want
    of room without failing; None stands for no limit.  ``is_own`` is whether
    an answer to this instance said so, not a peer.
    """

    rate_per_s: float | None
    tolerated_rejections: int | None
    at_ms: int
    is_own: bool

    @property
    def values(self) -> LimitValues:
        """Return the limits, without their source."""
        return self.rate_per_s, self.tolerated_rejections

    @property
    def is_stated(self) -> bool:
        """Return whether there is any limit."""
        return self.values != (None, None)


@dataclasses.dataclass(frozen=True)
class PermitNeed:
    """Why a request to a target needs a permit, and at which rate.

    ``stated_rate_per_s`` is the limit that the target states, None for none.
    ``cold`` is what a cold target may get, None for a warm one.  Requests in
    flight are counted for a target that ``is_brittle``.
    """

    stated_rate_per_s: float | None
    is_brittle: bool
    cold: cold_starts.ColdBound | None

    @property
    def reason(self) -> str:
        """Return the reason in one word, for counters."""
        if self.cold is not None:
            return "cold"
        return "brittle" if self.stated_rate_per_s is None else "stated"


class TargetRecord:
    """One target with its load, its failures and its holdings.

    ``found_ms`` is when its incarnation was first read at its address.
    ``failure_ratio`` is a moving average from 0 to 1.  ``expired_ms`` is set
    while the entry is missing after an outage of the store, and
    ``leaving_at_write`` while a peer has reported that the target is leaving.
    ``stated_leaving_ms`` is when the target last said so in an answer.
    ``limit`` is set once the target has stated one, and ``has_answered`` once
    this instance has read an answer of it.  ``is_relayed`` is whether
    only peers reach it, so that requests go through them; ``next_retry_ms`` is
    then when to connect from here again.  ``unreached_since_ms`` is when the
    first of the latest probes began, all of which failed.
    """

    def __init__(
        self,
        target: model.Target,
        cache_tokens: int,
        cold: cold_targets.ColdState | None = None,
        brittle: brittle_services.BrittleServices | None = None,
    ) -> None:
        self.target = target
        self._brittle = brittle or brittle_services.BrittleServices()
        self.found_ms: int = clocks.NEVER_MS
        self.cold = cold or cold_targets.ColdState(
            cold_targets.ColdRules(), target.service, target.id
        )
        self.load = Load()
        self.load_by_peer: dict[str, PeerLoad] = {}
        self.holdings: holdings_module.Holdings | None = None
        self.holdings_ms: int = clocks.NEVER_MS
        self.load_end_ms: int = clocks.NEVER_MS
        self.prefix_cache = dispatching.PrefixCacheEstimate(cache_tokens)
        self.sends = even_load.SendMeter()
        self.pace_by_kind = {kind: speeds.Pace() for kind in speeds.Kind}
        self.failure_ratio = 0.0
        self.suspect_until_ms: int = clocks.NEVER_MS
        self.suspect_ms = FIRST_SUSPECT_MS
        self.is_relayed = False
        self.next_retry_ms: int = clocks.NEVER_MS
        self.last_answer_ms: int = clocks.NEVER_MS
        self.unreached_since_ms: int = clocks.FOREVER_MS
        self.expired_ms: int | None = None
        self.leaving_at_write: int | None = None
        self.stated_leaving_ms: int | None = None
        self.attempts: set[typing.Any] = set()
        self.limit: StatedLimit | None = None
        self.has_answered = False
        self.malformed_limit = ""
        self.pause = pauses.Pause()
        self._no_permit_until_ms: dict[bool, int] = {}

    @property
    def is_usable(self) -> bool:
        """Return whether the target may get new requests."""
        return (
            self.target.state is model.TargetState.READY
            and self.leaving_at_write is None
            and self.stated_leaving_ms is None
        )

    def permit_need(self, now_ms: int) -> PermitNeed | None:
        """Return why a request to the target needs a permit now, if it does.

        First attempts, retries, resumed streams and relayed requests alike
        are sent only after this has been asked.
        """
        limit = self.limit if self.limit and self.limit.is_stated else None
        cold = self.cold.bound(now_ms)
        is_brittle = self._is_brittle(now_ms)
        if limit is None and cold is None and not is_brittle:
            return None
        return PermitNeed(
            limit.rate_per_s if limit else None, is_brittle, cold
        )

    def _is_brittle(self, now_ms: int) -> bool:
        """Return whether the target is brittle, as far as is known.

        Nothing else is known of one that has just started than what others of
        its service state.
        """
        if self.limit is not None:
            return self.limit.tolerated_rejections is not None
        return not self.has_answered and self._brittle.is_brittle(
            self.target.service, now_ms
        )

    def note_cold(self, until_ms: int) -> None:
        """Let the target count as cold until a time, whatever it states."""
        self.cold.note_cold(until_ms)

    def pause_permits(self, until_ms: int, is_urgent: bool) -> None:
        """Record that there is no permit for a kind of request before."""
        self._no_permit_until_ms[is_urgent] = until_ms

    def permit_wait_ms(self, is_urgent: bool, now_ms: int) -> int:
        """Return the ms until there may be a permit for a request."""
        until_ms = self._no_permit_until_ms.get(is_urgent, now_ms)
        if until_ms <= now_ms or self.permit_need(now_ms) is None:
            return 0
        return until_ms - now_ms

    def wait_ms(self, is_urgent: bool, now_ms: int) -> int:
        """Return the ms until the target may take a request."""
        return max(
            self.permit_wait_ms(is_urgent, now_ms), self.pause_wait_ms(now_ms)
        )

    def pause_wait_ms(self, now_ms: int) -> int:
        """Return the ms until the end of a stated pause, 0 without one."""
        return self.pause.wait_ms(
            now_ms, (attempt.started_ms for attempt in self.attempts)
        )

    def residents(self, now_ms: int) -> frozenset[model.ModelAndAdapter]:
        """Return the resident models and adapters.

        Fresh holdings from the lease holder take precedence, because engine
        entries are written later and leave adapters out.
        """
        holdings = self._fresh_holdings(now_ms)
        return (
            self.target.residents if holdings is None else (holdings.residents)
        )

    def _fresh_holdings(self, now_ms: int) -> holdings_module.Holdings | None:
        holdings = self.holdings
        if (
            holdings is None
            or holdings.started_ms != self.target.started_ms
            or now_ms - self.holdings_ms > MAX_HOLDINGS_AGE_MS
        ):
            return None
        return holdings

    def is_moving(self, now_ms: int) -> bool:
        """Return whether the engine loads or unloads a model."""
        holdings = self._fresh_holdings(now_ms)
        return holdings is not None and holdings.is_moving

    def adapter_ms(self, head: model.RequestHead, now_ms: int) -> float:
        """Return the time until a request's adapter is loaded, 0 if it is."""
        if not head.adapter or head.model_and_adapter in self.residents(
            now_ms
        ):
            return 0.0
        wait_ms = 0.0
        if self.is_moving(now_ms):
            wait_ms = max(dispatching.UNLOAD_MS, self.load_end_ms - now_ms)
        return wait_ms + dispatching.ADAPTER_LOAD_MS

    def running(self, now_ms: int) -> int:
        """Return the number of running requests of all instances.

        Peers whose load is not fresh are left out.
        """
        return self.load.running + sum(
            load.running for load in self._peer_loads(now_ms)
        )

    def running_by_peer(self, now_ms: int) -> dict[str, int]:
        """Return the running requests of each instance whose load is fresh."""
        return {
            peer: load.running
            for peer, load in self._fresh_load_by_peer(now_ms).items()
        }

    def prefill_tokens(self, now_ms: int) -> float:
        """Return the prompt tokens still to be processed at the target."""
        return self.load.prefill_tokens + sum(
            load.prefill_tokens for load in self._peer_loads(now_ms)
        )

    def in_use(
        self, now_ms: int
    ) -> collections.Counter[model.ModelAndAdapter]:
        """Return the running requests of all instances by resident."""
        running = collections.Counter(self.load.in_use())
        for load in self._peer_loads(now_ms):
            running.update(load.by_model_and_adapter)
        return running

    def _peer_loads(self, now_ms: int) -> typing.Iterable[PeerLoad]:
        return self._fresh_load_by_peer(now_ms).values()

    def _fresh_load_by_peer(self, now_ms: int) -> dict[str, PeerLoad]:
        return {
            peer: load
            for peer, load in self.load_by_peer.items()
            if now_ms - load.at_ms <= MAX_PEER_LOAD_AGE_MS
        }

    def pace(self, resident: str, now_ms: int) -> float:
        """Return the pace for requests of a model, "" for plain calls."""
        kind = speeds.Kind.STREAM if resident else speeds.Kind.PLAIN
        return self.pace_by_kind[kind].factor(now_ms)

    def note_outcome(self, has_failed: bool) -> None:
        """Add the outcome of one request to the failure average."""
        outcome = 1.0 if has_failed else 0.0
        self.failure_ratio += FAILURE_WEIGHT * (outcome - self.failure_ratio)

    def record_connect_success(self, now_ms: int) -> None:
        """Record an answer, which ends any pause."""
        if self.suspect_ms != FIRST_SUSPECT_MS:
            self.cold.note_unknown(now_ms)  # it may have started again
        self.last_answer_ms = now_ms
        self.suspect_until_ms = clocks.NEVER_MS
        self.suspect_ms = FIRST_SUSPECT_MS

    def record_connect_failure(self, now_ms: int) -> None:
        """Pause the use of an unreachable target.

        The pause doubles with each failure, up to MAX_SUSPECT_MS.  The target
        may be starting again, and counts as cold while that is unknown.
        """
        if now_ms < self.suspect_until_ms:
            return
        self.cold.note_unknown(now_ms)
        self.suspect_until_ms = now_ms + self.suspect_ms
        self.suspect_ms = min(MAX_SUSPECT_MS, self.suspect_ms * 2)
