"""One gateway instance, assembled: its parts, its tasks, its stop."""

import asyncio
import dataclasses
import secrets
import typing

from aiohttp import web
import orjson
import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases
from cardamom_kernel import registry
from cardamom_kernel import tasks
from cardamom_policy import fleet_windows

from cardamom_gateway import attempts
from cardamom_gateway import exchange
from cardamom_gateway import followers
from cardamom_gateway import forwarding
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import order_lease
from cardamom_gateway import peer_calls
from cardamom_gateway import peers
from cardamom_gateway import placing
from cardamom_gateway import relayed_tables
from cardamom_gateway import settings as settings_module
from cardamom_gateway import state as state_module
from cardamom_gateway import target_watch
from cardamom_gateway import usage

LOG = structlog.get_logger("cardamom.gateway")

USAGE_KEY = "usage"
USAGE_PERIOD_MS = 700  # a team's use grows by a tenth of its window in it
MEMBER_PREFIX = "instance/"
REGISTER_RETRY_MS = 500
TARGETS_PERIOD_MS = 1_200  # entries come in bundles; calls are priced
HOLDER_PERIOD_MS = 300  # the holder of orders waits for loads to end
SETTINGS_PERIOD_MS = 2_000  # the file may change without a signal
MEMBERS_PERIOD_MS = 5_000
MEMBER_SILENT_MS = 600_000  # far longer than a cut or a replacement takes
WATCH_MS = 200  # period of checks on silent targets
CLOSE_IDLE_MS = 2_600  # the balancer asks for readiness every second, twice
STOP_MARGIN_MS = 700  # of the grace period, left for closing
FAREWELL_MS = 600  # for the last writes to the store
CLOSE_TIMEOUT_S = 0.1  # for handlers, whose requests have been waited for
KEEPALIVE_S = 75.0  # idle callers' connections stay open for longer
CONFIG_LAG_MS = 300  # a peer that knows a later configuration is asked
TARGETS_LAG_MS = 1_100  # the feed of targets itself lags by up to a second
CATCH_UP_PERIOD_MS = 150
CATCH_UP_MS = 500  # period between two questions to peers


class Gateway:
    """One running gateway instance."""

    def __init__(
        self,
        platform: interfaces.Platform,
        settings: settings_module.GatewaySettings,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or clocks.MonotonicClock()
        self.incarnation = secrets.token_hex(3)
        self.stopped = asyncio.Event()
        self._platform = platform
        self._store = platform.open_store(settings.store_address)
        self._table = self._store.table(interfaces.Topic.FLEET)
        self._leases = self._store.table(interfaces.Topic.LEASES)
        self._engines = platform.open_engines()
        self._group = tasks.TaskGroup(self.clock)
        self._runners: list[web.ServerRunner] = []
        self._stop_task: asyncio.Task[None] | None = None
        self._started_ms = self.clock.now_ms()
        self._row_by_member: dict[str, typing.Any] = {}
        self._behind_since_ms: dict[str, int] = {}
        self._next_catch_up_ms: int = clocks.NEVER_MS
        self._settings_stamp = platform.settings_stamp()
        self._stored_usage = True  # an earlier holder may have stored some
        self.state = state_module.GatewayState(
            settings, self.clock, platform.codec
        )
        self._build()

    def _build(self) -> None:
        state = self.state
        self.exchange = exchange.Exchange(
            state,
            self.incarnation,
            self._versions,
            lambda: self.fleet.is_reached,
            lambda: self.placer.is_holder,
            lambda: self.placer.holdings(),
        )
        self.link = self.exchange.link
        self.calls = peer_calls.PeerCalls(
            state, self._leases, self._versions, self._load_adapter_here
        )
        self.lease = leases.Lease(
            relayed_tables.RelayedTable(
                self._leases, self.calls, self.exchange.store_peers
            ),
            self.clock,
            order_lease.LEASE_NAME,
            self.settings.instance,
            order_lease.LEASE_TTL_MS,
            order_lease.RETURN_MS,
        )
        self.placer = placing.Placer(
            state,
            self._engines,
            self.lease,
            self.exchange.publish,
            lambda: self.fleet.store_ms(),
        )
        self.keeper = order_lease.OrderLease(
            state,
            self.exchange,
            self.lease,
            self.placer,
            lambda: self.fleet.is_reached,
        )
        self.client = attempts.TargetClient(state.codec)
        self.watch = target_watch.TargetWatch(state, self.client, self._group)
        self.forwarder = forwarding.Forwarder(
            state,
            self.client,
            self._load_adapter,
            self.watch.note_broken,
            self._note_waiting,
            self.exchange.tell_rates,
        )
        topics = interfaces.Topic
        self.configurations = self._follower(
            topics.CONFIGURATION, self._take_configuration
        )
        self.targets = self._follower(
            topics.TARGETS, self._take_targets, self._targets_period_ms
        )
        self.fleet = self._follower(topics.FLEET, self._take_fleet)

    def _follower(
        self,
        topic: interfaces.Topic,
        sink: followers.Sink,
        period_ms: typing.Callable[[], int] = lambda: 0,
    ) -> followers.Follower:
        return followers.Follower(
            self._store, self.clock, topic, sink, period_ms
        )

    def _targets_period_ms(self) -> int:
        is_holder = self.placer.is_holder
        return HOLDER_PERIOD_MS if is_holder else TARGETS_PERIOD_MS

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers should come here."""
        return (
            self.state.configuration is not None
            and bool(self.state.book.by_id)
            and not self.state.is_stopping
        )

    async def start(self) -> None:
        """Open the ports and begin the background tasks."""
        settings = self.settings
        await self.link.open()
        await self._listen(
            self.calls.handle, self._internal(settings.peers_port)
        )
        await self._listen(
            self._answer_metrics, self._internal(settings.metrics_port)
        )
        await self._listen(self._answer_readiness, settings.readiness)
        await self._listen(self.forwarder.handle, settings.callers)
        start, every = self._group.start, self._group.every
        start("configuration", self.configurations.run)
        start("targets", self.targets.run)
        start("fleet", self.fleet.run)
        start("register", self._register)
        start("peers", self.link.run)
        start("placing", self.placer.run)
        start("lease", self.keeper.keep)
        every("settings", SETTINGS_PERIOD_MS, self._watch_settings)
        every("members", MEMBERS_PERIOD_MS, self._keep_members)
        every("usage", USAGE_PERIOD_MS, self._keep_usage)
        every("watch", WATCH_MS, self.watch.watch)
        every("catch-up", CATCH_UP_PERIOD_MS, self._catch_up)
        LOG.info(
            "gateway: started",
            instance=settings.instance,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
        )

    def _internal(self, port: int) -> settings_module.Address:
        return settings_module.Address(self.settings.peers_host, port)

    async def _listen(
        self,
        handler: typing.Callable[
            [web.BaseRequest], typing.Awaitable[web.StreamResponse]
        ],
        address: settings_module.Address,
    ) -> None:
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=1 << 16,
            max_field_size=1 << 16,
        )
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        await runner.setup()
        site = web.TCPSite(
            runner, address.host, address.port, reuse_address=True
        )
        await site.start()
        self._runners.append(runner)

    async def _answer_readiness(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path != self._platform.readiness_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready else 503)

    async def _answer_metrics(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        return web.Response(
            body=self.state.metrics.text(), content_type="text/plain"
        )

    async def _watch_settings(self) -> None:
        if self._platform.settings_stamp() != self._settings_stamp:
            self.read_settings()

    def read_settings(self) -> None:
        """Take the bounds of changed settings; addresses stay."""
        self._settings_stamp = self._platform.settings_stamp()
        try:
            found = self._platform.read_settings()
        except settings_module.SettingsError as error:
            LOG.error("gateway: settings not usable", error=str(error))
            return
        self.state.settings = dataclasses.replace(
            found,
            instance=self.settings.instance,
            callers=self.settings.callers,
            readiness=self.settings.readiness,
            peers_host=self.settings.peers_host,
            peers_port=self.settings.peers_port,
            metrics_port=self.settings.metrics_port,
        )
        LOG.info("gateway: settings read again")

    # What the store tells.

    def _take_configuration(
        self, changes: interfaces.Changes, is_full: bool
    ) -> None:
        for change in changes.changes:
            if (
                change.key == self._platform.configuration_key
                and change.value is not None
            ):
                self._adopt(change.value, "store")

    def _adopt(self, raw: bytes, source: str) -> None:
        try:
            is_new = self.state.adopt(raw)
        except interfaces.MalformedMessage as error:
            LOG.error(
                "gateway: configuration not usable",
                source=source,
                error=str(error),
            )
            return
        configuration = self.state.configuration
        if is_new and configuration is not None:
            LOG.info(
                "gateway: configuration in force",
                version=configuration.version,
                source=source,
            )

    def _take_targets(
        self, changes: interfaces.Changes, is_full: bool
    ) -> None:
        book, back_ms = self.state.book, self.targets.back_ms
        self.state.note_targets(changes.version)
        for change in changes.changes:
            self._take_target(change.key, change.value, back_ms)
        if is_full:
            present = {ids.TargetId(change.key) for change in changes.changes}
            book.keep_only(present, back_ms)

    def _take_target(
        self, key: str, value: bytes | None, back_ms: int
    ) -> None:
        target_id = ids.TargetId(key)
        if value is None:
            self.state.book.remove(target_id, back_ms)
            return
        try:
            target = self.state.codec.decode_target(key, value)
        except interfaces.MalformedMessage as error:
            LOG.warning(
                "gateway: entry not usable", target=key, error=str(error)
            )
            self.state.book.remove(target_id, clocks.NEVER_MS)
            return
        self.state.book.put(target, value)

    def _take_fleet(self, changes: interfaces.Changes, is_full: bool) -> None:
        if is_full:
            self._row_by_member.clear()
        for change in changes.changes:
            if change.key == USAGE_KEY:
                self._take_usage(change.value)
            elif change.key.startswith(MEMBER_PREFIX):
                name = change.key.removeprefix(MEMBER_PREFIX)
                if change.value is None:
                    self._row_by_member.pop(name, None)
                else:
                    self._row_by_member[name] = orjson.loads(change.value)
        self.link.set_members(
            peers.Member(
                ids.InstanceId(name),
                row["host"],
                row["port"],
                row["data_centre"],
                row["incarnation"],
            )
            for name, row in self._row_by_member.items()
        )
        self.state.set_members(
            [name for name in self._row_by_member if name != self._name]
        )

    def _take_usage(self, value: bytes | None) -> None:
        """Take what teams had used when a holder wrote it last."""
        try:
            profiles = usage.decode(value, self.fleet.store_ms())
        except usage.MalformedUsage as error:
            LOG.warning("gateway: stored usage not usable", error=str(error))
            profiles = {}
        now_ms = self.clock.now_ms()
        self.state.rates.set_earlier(
            {
                team: fleet_windows.Profile(now_ms - age_ms, amounts)
                for team, (age_ms, amounts) in profiles.items()
            }
        )

    async def _keep_usage(self) -> None:
        """Store the use of teams near their limits, for later starts."""
        configuration, now_ms = self.state.configuration, self.clock.now_ms()
        store_ms = self.fleet.store_ms()
        if not self.placer.is_holder or configuration is None:
            return
        if store_ms is None:
            return  # nothing has been read from the store yet
        rates = self.state.rates
        pressed = {
            team.id: rates.profile(team.id, now_ms).amounts
            for team in configuration.team_by_id.values()
            if team.rate_per_s > 0
            and rates.is_pressed(team.id, self.state.rate_limit(team), now_ms)
        }
        if pressed or self._stored_usage:
            row = usage.encode(pressed, store_ms)
            await self._table.commit({}, {USAGE_KEY: row})
        self._stored_usage = bool(pressed)

    @property
    def _name(self) -> str:
        return self.settings.instance

    async def _register(self) -> None:
        """Write this instance's row, over one of an earlier start."""
        key = MEMBER_PREFIX + self._name
        row = {
            "host": self.settings.peers_host,
            "port": self.settings.peers_port,
            "data_centre": self.settings.data_centre,
            "incarnation": self.incarnation,
        }
        while True:
            result = await self._table.commit({}, {key: row})
            if result.committed:
                return
            await self.clock.sleep_ms(REGISTER_RETRY_MS)

    async def _keep_members(self) -> None:
        """Register again if need be; drop rows of those long silent."""
        if not self.fleet.is_reached or self.state.is_stopping:
            return
        if self._name not in self._row_by_member:
            await self._register()
        if not self.placer.is_holder or not self.link.fresh_peers():
            return
        now_ms = self.clock.now_ms()
        for member in list(self.link.member_by_id):
            peer = self.link.peer_by_id.get(member)
            heard_ms = peer.heard_ms if peer else self._started_ms
            if now_ms - heard_ms > MEMBER_SILENT_MS:
                LOG.info("gateway: member dropped", member=member)
                await self._table.commit({}, {}, [MEMBER_PREFIX + member])

    # What peers tell.

    def _versions(self) -> dict[str, int]:
        configuration = self.state.configuration
        return {
            "cv": configuration.version if configuration else 0,
            "tv": self.targets.last_change,
        }

    async def _load_adapter_here(
        self, target_id: ids.TargetId, name: str, adapter: str
    ) -> bool:
        return await self.placer.ensure_adapter(target_id, name, adapter)

    async def _load_adapter(
        self, target: model.Target, name: str, adapter: str
    ) -> bool:
        if self.placer.is_holder:
            return await self.placer.ensure_adapter(target.id, name, adapter)
        holder = self.exchange.holder()
        if holder is None:
            return False
        return await self.calls.ask_adapter(
            holder.member, target.id, name, adapter
        )

    async def _catch_up(self) -> None:
        """Learn from a peer what the store does not tell this instance."""
        own, now_ms = self._versions(), self.clock.now_ms()
        ahead = self._peers_ahead("cv", self.configurations, CONFIG_LAG_MS)
        ahead += self._peers_ahead("tv", self.targets, TARGETS_LAG_MS)
        if not ahead or now_ms < self._next_catch_up_ms:
            return
        self._next_catch_up_ms = now_ms + CATCH_UP_MS
        peer = min(
            ahead,
            key=lambda p: p.member.data_centre != self.settings.data_centre,
        )
        view = await self.calls.ask_view(peer.member, own["cv"])
        if view is not None:
            self._take_view(view, peer.member.id)

    def _peers_ahead(
        self, key: str, follower: followers.Follower, lag_ms: int
    ) -> list[peers.Peer]:
        """Return peers that know more of a topic than its feed tells."""
        now_ms = self.clock.now_ms()
        ahead = [
            peer
            for peer in self.link.fresh_peers()
            if peer.news.get(key, 0) > self._versions()[key]
        ]
        if not ahead:
            self._behind_since_ms.pop(key, None)
            return []
        since_ms = self._behind_since_ms.setdefault(key, now_ms)
        if not follower.is_reached:
            lag_ms = CONFIG_LAG_MS
        if now_ms - since_ms < lag_ms or not follower.is_silent(lag_ms):
            return []
        return ahead

    def _take_view(self, view: peer_calls.View, source: str) -> None:
        if view.configuration:
            self._adopt(view.configuration, source)
        if view.targets_version <= self.targets.last_change:
            return
        LOG.info(
            "gateway: targets from a peer",
            peer=source,
            was=self.targets.last_change,
            version=view.targets_version,
        )
        self.targets.skip_to(view.targets_version)
        self.state.note_targets(view.targets_version)
        for key, raw in view.raw_by_target.items():
            self._take_target(key, raw, clocks.NEVER_MS)
        present = {ids.TargetId(key) for key in view.raw_by_target}
        self.state.book.keep_only(present, clocks.NEVER_MS)

    # Targets that have gone silent or broken.

    def _note_waiting(self) -> None:
        """Tell the holder of orders at once what a request waits for."""
        holder = self.exchange.holder()
        if holder is not None:
            self.link.tell([holder.member], peers.Audience.HOLDER)

    # The planned stop.

    def begin_stop(self) -> None:
        """Begin a planned stop; ``stopped`` is set at its end."""
        if self._stop_task is None:
            self.state.is_stopping = True
            self._stop_task = asyncio.create_task(self._stop())

    async def _stop(self) -> None:
        """Turn unready, finish what runs, hand the lease over, close.

        Orders go on until the end, as the engines have no other holder.
        """
        started_ms = self.clock.now_ms()
        LOG.info("gateway: stopping", in_flight=self.forwarder.in_flight)
        await self.clock.sleep_ms(CLOSE_IDLE_MS)
        self.state.is_closing = True
        self.state.book.notify()
        end_ms = started_ms + self.settings.grace_ms - STOP_MARGIN_MS
        await self._finish_requests(end_ms - FAREWELL_MS)
        await asyncio.gather(self._take_leave(), self._finish_requests(end_ms))
        await self.close()
        LOG.info("gateway: stopped", in_flight=self.forwarder.in_flight)
        self.stopped.set()

    async def _finish_requests(self, end_ms: int) -> None:
        """Wait until no request runs, or for the end."""
        while self.forwarder.in_flight and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(50)

    async def _take_leave(self) -> None:
        """Give up the lease and this instance's row, if the store answers."""
        await self.placer.stop()
        try:
            async with asyncio.timeout(FAREWELL_MS / 1000):
                await self.lease.release(self.placer.handover())
                await self._table.commit({}, {}, [MEMBER_PREFIX + self._name])
        except TimeoutError:
            LOG.warning("gateway: the store did not take the leave in time")

    async def close(self) -> None:
        """Stop every task and close every connection."""
        for runner in reversed(self._runners):  # callers first
            await runner.cleanup()
        self._runners.clear()
        self.link.close()
        await self._group.stop_all()
        await self.client.close()
        await self.calls.close()
        await self._engines.close()
        await self._store.close()


def open_platform(name: str) -> interfaces.Platform:
    """Return the platform's adapter that registered under a name."""
    platform: interfaces.Platform = registry.PLUGINS.create(
        interfaces.PLUGIN_KIND, name
    )
    return platform
