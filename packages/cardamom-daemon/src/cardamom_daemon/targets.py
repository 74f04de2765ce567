"""The configured targets: their state, polled by one task for each."""

import asyncio
import dataclasses
import statistics
import typing
import urllib.parse

import structlog

from cardamom_config import schema
from cardamom_daemon import catalog
from cardamom_daemon import fleet as fleets
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import registry
from cardamom_kernel import tasks
from cardamom_platform import interfaces
from cardamom_platform import pools
from cardamom_policy import routing

LOG = structlog.get_logger("cardamom.targets")

POLL_INTERVAL_MS = 250
STALE_STATE_MS = 3_000
FAILURES_UNTIL_DOWN = 2
PROBE_TIMEOUT_S = 1.0
MAX_CACHED_PREFIXES = 512


@dataclasses.dataclass
class InFlight:
    """A request at a target, to be scored as a suspect if the target crashes.

    It occupies a slot from the start; ``was_sent`` is set just before it is
    sent.
    """

    fingerprint: str
    is_suspect: bool
    incarnation: str
    was_sent: bool = False


class Target:
    """A target, with its state as last observed by this instance."""

    def __init__(
        self,
        name: str,
        spec: schema.Target,
        control: interfaces.EngineControl | None,
        control_pool: pools.Pool,
    ) -> None:
        self.id = ids.TargetId(name)
        self.spec = spec
        self.pool = pools.Pool()
        self.control_pool = control_pool
        self.control = control
        self.state: interfaces.EngineState | None = None
        self.state_received_ms: int = clocks.NEVER_MS
        self._ready: frozenset[tuple[str, str]] = frozenset()
        self.up_since_ms: int = clocks.NEVER_MS
        self.consecutive_failures = 0
        self.latency = routing.Latency()
        self.in_flight: dict[ids.RequestId, InFlight] = {}
        self.cached_prefixes: dict[str, None] = {}
        self.event_sequence = 0
        self.reported_others_in_flight = 0

    @property
    def incarnation(self) -> str:
        """Return the target's last reported incarnation, empty if none."""
        return self.state.boot if self.state else ""

    @property
    def is_up(self) -> bool:
        """Return whether the target has answered recently."""
        return self.consecutive_failures < FAILURES_UNTIL_DOWN

    def has_ready(self, name: catalog.ModelName) -> bool:
        """Return whether a model, with its adapter, is reported as ready."""
        if (name.model, "") not in self._ready:
            return False
        return not name.adapter or (name.model, name.adapter) in self._ready

    def record_state(self, state: interfaces.EngineState, now_ms: int) -> None:
        """Store the engine's latest reported state."""
        self.state = state
        self.state_received_ms = now_ms
        self._ready = frozenset(
            (resident.model, resident.adapter)
            for resident in state.residents
            if resident.state is interfaces.LoadState.READY
        )

    async def close(self) -> None:
        """Close the target's connections."""
        await self.pool.close()
        await self.control_pool.close()


CrashListener = typing.Callable[[Target, str], None]


class TargetRegistry:
    """All configured targets, by id."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        group: tasks.TaskGroup,
    ) -> None:
        self._fleet = fleet
        self._group = group
        self._closing: set[asyncio.Task[None]] = set()
        self.by_id: dict[ids.TargetId, Target] = {}
        self.change_listeners: list[typing.Callable[[], None]] = []
        self.crash_listeners: list[CrashListener] = []

    def reconfigure(self) -> None:
        """Start and stop polling so that it matches the configuration."""
        configured = self._fleet.catalog.configuration.targets
        for target in list(self.by_id.values()):
            if configured.get(target.id) != target.spec:
                del self.by_id[target.id]
                self._group.run_in_background(self._retire(target))
        for name, spec in configured.items():
            if name not in self.by_id:
                self._start_polling(name, spec)

    async def close(self) -> None:
        """Close every target's connections."""
        for target in self.by_id.values():
            await target.close()

    def in_flight(self) -> dict[str, int]:
        """Return the number of this instance's requests, by target."""
        return {
            target.id: len(target.in_flight)
            for target in self.by_id.values()
            if target.in_flight
        }

    def engines(self) -> list[Target]:
        """Return the engines, ordered by id."""
        return self._of_kind(schema.TargetKind.ENGINE)

    def services(self, group: str) -> list[Target]:
        """Return the plain services of a group, ordered by id."""
        return [
            target
            for target in self._of_kind(schema.TargetKind.SERVICE)
            if target.spec.group == group
        ]

    def candidates(
        self,
        targets: typing.Iterable[Target],
        peers_in_flight: typing.Mapping[str, int],
        prefix: str = "",
    ) -> list[routing.Candidate]:
        """Return the targets that may take work, as input for routing."""
        now_ms = self._fleet.clock.now_ms()
        usable = [
            target
            for target in targets
            if target.is_up and self._fleet.target_takes_work(target.id)
        ]
        means_ms = [t.latency.mean_ms for t in usable]
        measured_ms = [mean for mean in means_ms if mean is not None]
        median_ms = statistics.median(measured_ms) if measured_ms else None
        local = self._fleet.settings.data_centre
        return [
            routing.Candidate(
                id=target.id,
                slots=target.spec.slots,
                own_in_flight=len(target.in_flight),
                peers_in_flight=max(
                    peers_in_flight.get(target.id, 0),
                    target.reported_others_in_flight,
                ),
                is_local=target.spec.data_centre == local,
                slowness=target.latency.slowness(median_ms),
                up_ms=now_ms - target.up_since_ms,
                has_prefix=bool(prefix) and prefix in target.cached_prefixes,
                suspects=sum(f.is_suspect for f in target.in_flight.values()),
            )
            for target in usable
        ]

    def begin_request(
        self,
        target: Target,
        request_id: ids.RequestId,
        fingerprint: str,
        is_suspect: bool,
    ) -> None:
        """Count a request as in flight at a target."""
        target.in_flight[request_id] = InFlight(
            fingerprint,
            is_suspect,
            target.incarnation,
        )

    def mark_sent(self, target: Target, request_id: ids.RequestId) -> None:
        """Note that a request is about to be sent."""
        in_flight = target.in_flight.get(request_id)
        if in_flight is not None:
            in_flight.was_sent = True

    def end_request(self, target: Target, request_id: ids.RequestId) -> None:
        """Count a request as no longer in flight."""
        target.in_flight.pop(request_id, None)
        self._notify_changed()

    def count_failure(self, target: Target) -> None:
        """Count a failed request or connection to a target."""
        target.consecutive_failures += 1

    def mark_down(self, target: Target) -> None:
        """Send no requests to a target until it answers a poll again."""
        target.consecutive_failures = max(
            target.consecutive_failures, FAILURES_UNTIL_DOWN
        )

    async def handle_connection_failure(
        self,
        target: Target,
        problem: BaseException,
    ) -> None:
        """Replace the pool after a timeout or an operating system error.

        Either may mean that its connections no longer deliver data.  A
        failure is counted for the target only if a new connection fails too.
        """
        if not isinstance(problem, (asyncio.TimeoutError, OSError)):
            return
        target.pool.replace()
        if not await self.probe(target):
            self.count_failure(target)

    async def has_crashed(self, target: Target, incarnation: str) -> bool:
        """Return whether an incarnation of a target has crashed or restarted.

        A target that does not answer in time may only be unreachable, and
        does not count as crashed.
        """
        if target.control is None:
            return False
        try:
            state = await target.control.state()
        except interfaces.TargetUnreachable as error:
            return not error.timed_out
        return state.boot != incarnation

    async def probe(self, target: Target) -> bool:
        """Return whether a new connection to a target works."""
        if target.control is not None:
            try:
                await target.control.state()
                return True
            except interfaces.TargetUnreachable:
                return False
        parts = urllib.parse.urlsplit(target.spec.url)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    parts.hostname,
                    parts.port or 80,
                )
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    def _of_kind(self, kind: schema.TargetKind) -> list[Target]:
        return [
            target
            for _, target in sorted(self.by_id.items())
            if target.spec.kind is kind
        ]

    def _start_polling(self, name: str, spec: schema.Target) -> None:
        control = None
        control_pool = pools.Pool(pools.PoolSettings(reuse_connections=False))
        if spec.kind is schema.TargetKind.ENGINE:
            control = registry.PLUGINS.create(
                "engine-control",
                self._fleet.settings.engine_plugin,
                control_pool,
                spec.url,
            )
        target = Target(name, spec, control, control_pool)
        self.by_id[target.id] = target
        self._group.start(f"watch {name}", lambda: self._poll(target))

    async def _retire(self, target: Target) -> None:
        """Close a removed target's connections after its requests end.

        A new target under the same id is polled after the old one's task has
        stopped.
        """
        await self._group.stop(f"watch {target.id}")
        if target.id in self.by_id:
            replacement = self.by_id[target.id]
            self._group.start(
                f"watch {target.id}",
                lambda: self._poll(replacement),
            )
        while target.in_flight:
            await self._fleet.clock.sleep_ms(POLL_INTERVAL_MS)
        await target.close()

    async def _poll(self, target: Target) -> None:
        """Poll a target until it is removed or replaced."""
        while self.by_id.get(target.id) is target:
            was_up = target.is_up and target.up_since_ms > clocks.NEVER_MS
            if target.control is not None:
                await self._read_state(target, target.control)
            elif await self.probe(target):
                target.consecutive_failures = 0
            else:
                target.consecutive_failures += 1
            if target.is_up and not was_up:
                target.up_since_ms = self._fleet.clock.now_ms()
                LOG.info("targets: up", target=target.id)
            if was_up and not target.is_up:
                target.up_since_ms = clocks.NEVER_MS
                LOG.warning("targets: down", target=target.id)
                self._fleet.metrics.count("target.down")
            self._notify_changed()
            await self._fleet.clock.sleep_ms(POLL_INTERVAL_MS)

    async def _read_state(
        self,
        target: Target,
        control: interfaces.EngineControl,
    ) -> None:
        try:
            state = await control.state()
            events = await control.cache_events(target.event_sequence)
        except interfaces.TargetUnreachable as error:
            target.consecutive_failures += 1
            is_down = target.consecutive_failures == FAILURES_UNTIL_DOWN
            if is_down and not error.timed_out:
                self._notify_crashed(target)
            return
        if target.incarnation and state.boot != target.incarnation:
            self._notify_crashed(target)
            target.cached_prefixes.clear()
            target.event_sequence = 0
            target.up_since_ms = self._fleet.clock.now_ms()
        target.consecutive_failures = 0
        target.record_state(state, self._fleet.clock.now_ms())
        target.reported_others_in_flight = max(
            0,
            state.running - len(target.in_flight),
        )
        if events.boot == state.boot:
            _apply_cache_events(target, events)

    def _notify_crashed(self, target: Target) -> None:
        LOG.warning("targets: lost", target=target.id, boot=target.incarnation)
        for listener in self.crash_listeners:
            listener(target, target.incarnation)

    def _notify_changed(self) -> None:
        for listener in self.change_listeners:
            listener()


def _apply_cache_events(
    target: Target, events: interfaces.CacheEvents
) -> None:
    """Apply cache events; a gap in the sequence clears earlier prefixes."""
    for event in events.events:
        if event.sequence > target.event_sequence + 1:
            target.cached_prefixes.clear()
        target.event_sequence = event.sequence
        target.cached_prefixes.pop(event.prefix, None)
        if event.present:
            target.cached_prefixes[event.prefix] = None
    while len(target.cached_prefixes) > MAX_CACHED_PREFIXES:
        del target.cached_prefixes[next(iter(target.cached_prefixes))]
