"""One gateway instance: its components, background tasks and shutdown."""

import asyncio
import dataclasses
import secrets
import typing

from aiohttp import web
import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases
from cardamom_kernel import registry
from cardamom_kernel import tables
from cardamom_kernel import tasks

from cardamom_gateway.engines import order_lease
from cardamom_gateway.engines import placing
from cardamom_gateway.fleet import delays
from cardamom_gateway.fleet import exchange
from cardamom_gateway.fleet import member_rows
from cardamom_gateway.fleet import peer_calls
from cardamom_gateway.fleet import peers
from cardamom_gateway.fleet import stored_rows
from cardamom_gateway import interfaces
from cardamom_gateway.locations import evacuation_rows
from cardamom_gateway import model
from cardamom_gateway.requests import attempts
from cardamom_gateway.requests import forwarding
from cardamom_gateway.requests import relaying
from cardamom_gateway.requests import stream_origins
from cardamom_gateway import settings as settings_module
from cardamom_gateway import state as state_module
from cardamom_gateway.store import followers
from cardamom_gateway.store import relayed_tables
from cardamom_gateway.store import store_calls
from cardamom_gateway.store import store_relay
from cardamom_gateway.store import store_watch
from cardamom_gateway.targets import permit_client
from cardamom_gateway.targets import reachability
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_registry
from cardamom_gateway.targets import target_watch

LOG = structlog.get_logger("cardamom.gateway")

# A team's usage grows by a tenth of its window in this time.
USAGE_PERIOD_MS = 700
SOFTWARE_PERIOD_MS = 700
SUSPECTS_PERIOD_MS = 300
REGISTER_RETRY_MS = 500
# The store sends entries in batches, and calls to it are charged for.
TARGETS_PERIOD_MS = 1_200
# Shorter at the holder of the lease, as it waits for loads to end.
HOLDER_TARGETS_PERIOD_MS = 300
# Rows of instances change together when many start.
FLEET_PERIOD_MS = 1_000
# The settings file may change without a signal.
SETTINGS_PERIOD_MS = 2_000
MEMBERS_PERIOD_MS = 5_000
# Far longer than a network partition or the replacement of an instance.
MEMBER_SILENT_MS = 600_000
WATCH_PERIOD_MS = 200
# Peers that are up answer the first message of an instance at once.
MAX_PEERS_WAIT_MS = 1_000
# The load balancer checks readiness every second and needs two checks.
STOP_ACCEPTING_DELAY_MS = 2_600
# Time of the grace period that is reserved for closing connections.
CLOSE_RESERVE_MS = 700
# Time of it in which unfinished requests are answered.
FINAL_ANSWERS_MS = 200
# Time of the grace period that is reserved for last writes to the store.
FINAL_WRITES_TIMEOUT_MS = 600
# Handlers are cancelled soon, as their requests have been waited for.
HANDLER_CLOSE_TIMEOUT_S = 0.1
# Longer than callers keep their idle connections open.
CALLER_KEEPALIVE_S = 75.0
# Time behind a peer's configuration after which the peer is asked for it.
CONFIGURATION_LAG_MS = 300
# Longer for targets, as the store's feed itself lags by up to a second.
TARGETS_LAG_MS = 1_100
CATCH_UP_CHECK_PERIOD_MS = 150
# Additional time for the reader of the store, through which changes come.
RELAY_LAG_MS = 500
STORE_CALLS_PERIOD_MS = 10_000
# Shortest interval between two calls to peers for changes of one topic.
CATCH_UP_CALL_PERIOD_MS = 500


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
        self._engines = platform.open_engines()
        self._group = tasks.TaskGroup(self.clock)
        self._runners: list[web.ServerRunner] = []
        self._stop_task: asyncio.Task[None] | None = None
        self._started_ms = self.clock.now_ms()
        self._row_by_member: dict[str, peers.Member] = {}
        self._behind_since_ms: dict[tuple[str, ...], int] = {}
        self._next_catch_up_ms: dict[interfaces.Topic, int] = {}
        self._settings_modification_time_s = (
            platform.settings_modification_time_s()
        )
        self.state = state_module.GatewayState(
            settings, self.clock, platform.codec
        )
        self.store_calls = store_calls.StoreCalls(self.state.metrics)
        self._store = store_calls.CountingStore(
            platform.open_store(settings.store_address), self.store_calls
        )
        self._table = self._store.table(interfaces.Topic.FLEET)
        self._leases = self._store.table(interfaces.Topic.LEASES)
        self._create_components()

    def _create_components(self) -> None:
        state = self.state
        self.stored_rows = stored_rows.StoredRows(
            state,
            self._table,
            stored_rows.StoreAccess(
                lambda: self.placer.is_holder,
                lambda: self.fleet.is_reached,
                lambda: self.fleet.store_clock_ms(),
            ),
            lambda: self.exchange.origins,
        )
        self.evacuation_rows = evacuation_rows.EvacuationRows(
            state, self._platform.evacuation_prefix
        )
        self.delay_monitor = delays.DelayMonitor(self.clock, state.metrics)
        self.exchange = exchange.Exchange(
            state,
            self.incarnation,
            self._versions,
            lambda: self.fleet.is_reached,
            lambda: self.placer.term,
            lambda: self.placer.holdings(),
            self.delay_monitor,
            lambda: self.store_watch.is_reader(),
            lambda sender, update: self.store_watch.receive(sender, update),
            self.stored_rows.read_software,
        )
        state.targets.on_software = self._report_software
        self.link = self.exchange.link
        self.peer_calls = peer_calls.PeerCalls(
            state,
            self._leases,
            self._changes_since,
            self._load_adapter_here,
            self.exchange.holdings.snapshot,
            self.exchange.origins,
            self.exchange.limits,
            lambda target, started_ms: self.reachability.answer_peer(
                target, started_ms
            ),
        )
        self.lease = leases.Lease(
            relayed_tables.RelayedTable(
                self._leases, self.peer_calls, self.exchange.store_peers
            ),
            self.clock,
            order_lease.LEASE_NAME,
            self.settings.instance,
            order_lease.LEASE_TTL_MS,
            order_lease.RESTART_MS,
            lambda: self.exchange.highest_term,
            lambda: self.exchange.told_unreached_ms,
        )
        self.placer = placing.Placer(
            state,
            self._engines,
            self.lease,
            self.exchange.holdings.publish,
            lambda: self.fleet.store_clock_ms(),
        )
        self.order_lease = order_lease.OrderLease(
            state,
            self.exchange,
            self.lease,
            self.placer,
            lambda: self.fleet.is_reached,
        )
        self.target_client = attempts.TargetClient(
            state.codec, self._note_answer
        )
        self.reachability = reachability.Reachability(
            state,
            self.target_client,
            self.link,
            self._group,
            self.peer_calls.ask_reach,
        )
        self.target_watch = target_watch.TargetWatch(
            state,
            self.target_client,
            self._group,
            self.reachability,
            self.exchange.suspects.note_crash,
            self.exchange.suspect_parts.note_crash,
        )
        self.permit_client = permit_client.PermitClient(
            self.settings.instance,
            self.clock,
            self.peer_calls.permit_owners,
            self._group,
            state.metrics,
        )
        self.relay = relaying.Relay(
            state, self.target_client, self.permit_client
        )
        self.forwarder = forwarding.Forwarder(
            state,
            self.target_client,
            self._load_adapter,
            self.target_watch.on_broken_attempt,
            self._report_waiting,
            self.exchange.report_rates,
            self.exchange.suspects.note_cleared,
            self.exchange.suspect_parts,
            self._find_origin,
            self.exchange.origins.may_begin,
            self.exchange.origins.note_begun,
            self.permit_client,
            self.reachability,
        )
        self.store_watch = store_watch.StoreWatch(
            self.settings,
            self.clock,
            self.exchange,
            self.peer_calls.fetch_changes,
            lambda: state.is_stopping,
        )
        topics = interfaces.Topic
        self.configurations = self._follower(
            topics.CONFIGURATION, self._apply_configuration_changes
        )
        self.targets = self._follower(
            topics.TARGETS,
            self._apply_target_changes,
            self._targets_period_ms,
            lambda: self.store_watch.is_reading() or self.placer.is_holder,
        )
        self.fleet = self._follower(
            topics.FLEET, self._apply_fleet_changes, lambda: FLEET_PERIOD_MS
        )
        self._follower_by_topic = {
            follower.topic: follower
            for follower in (self.configurations, self.targets, self.fleet)
        }

    def _follower(
        self,
        topic: interfaces.Topic,
        sink: followers.Sink,
        period_ms: typing.Callable[[], int] = lambda: 0,
        reads_store: typing.Callable[[], bool] | None = None,
    ) -> followers.Follower:
        watch = self.store_watch
        follower = followers.Follower(
            self._store,
            self.clock,
            topic,
            sink,
            period_ms,
            reads_store or watch.is_reading,
            watch.wait_ms,
            watch.max_backoff_ms,
            lambda known: watch.pass_on(topic, known),
        )
        watch.add(follower)
        return follower

    def _targets_period_ms(self) -> int:
        is_holder = self.placer.is_holder
        return HOLDER_TARGETS_PERIOD_MS if is_holder else TARGETS_PERIOD_MS

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send new callers here."""
        return (
            self.state.configuration is not None
            and bool(self.state.targets.by_id)
            and not self.state.is_stopping
            and self._has_heard_peers
        )

    @property
    def _has_heard_peers(self) -> bool:
        """Return whether this instance knows what others state of targets.

        It doesn't wait for long, as none of them may be up.
        """
        is_alone = self.fleet.is_reached and not self.link.member_by_id
        return (
            is_alone
            or bool(self.link.peer_by_id)
            or self.clock.now_ms() - self._started_ms >= MAX_PEERS_WAIT_MS
        )

    async def start(self) -> None:
        """Open the ports and start the background tasks.

        Raises OSError if a port cannot be opened.
        """
        settings = self.settings
        await self.link.open()
        await self._listen(
            self._handle_peer,
            self._peer_network_address(settings.peers_port),
        )
        await self._listen(
            self._answer_metrics,
            self._peer_network_address(settings.metrics_port),
        )
        await self._listen(self._answer_readiness, settings.readiness)
        await self._listen(self.forwarder.handle, settings.callers)
        start, start_periodic = self._group.start, self._group.start_periodic
        start("delays", self.delay_monitor.run)
        start("suspects", self.exchange.suspects.run)
        start("suspect parts", self.exchange.suspect_parts.run)
        start("confirm holdings", self.exchange.holdings.confirm_periodically)
        start("missing holdings", self._close_holdings_gaps)
        start("configuration", self.configurations.run)
        start("targets", self.targets.run)
        start("fleet", self.fleet.run)
        start("register", self._register)
        start("peers", self.link.run)
        start("digests", self.exchange.digests.run)
        start("placing", self.placer.run)
        start("lease", self.order_lease.run)
        start_periodic(
            "settings", SETTINGS_PERIOD_MS, self._reload_changed_settings
        )
        start_periodic("members", MEMBERS_PERIOD_MS, self._update_members)
        start_periodic("usage", USAGE_PERIOD_MS, self.stored_rows.store_usage)
        start_periodic(
            "started peers",
            exchange.STARTED_PEERS_PERIOD_MS,
            self.exchange.inform_started_peers,
        )
        start_periodic(
            "software", SOFTWARE_PERIOD_MS, self.stored_rows.store_software
        )
        start_periodic(
            "stored suspects",
            SUSPECTS_PERIOD_MS,
            self.stored_rows.store_suspects,
        )
        start_periodic(
            "watch", WATCH_PERIOD_MS, self.target_watch.check_targets
        )
        start_periodic(
            "reachability", WATCH_PERIOD_MS, self.reachability.retry_targets
        )
        start_periodic(
            "evacuations", WATCH_PERIOD_MS, self.evacuation_rows.check
        )
        start_periodic(
            "permit owners", WATCH_PERIOD_MS, self.exchange.limits.observe
        )
        start_periodic(
            "permit counts",
            WATCH_PERIOD_MS,
            self.peer_calls.permit_owners.return_counts,
        )
        start_periodic("catch-up", CATCH_UP_CHECK_PERIOD_MS, self._catch_up)
        start_periodic(
            "store watch", store_watch.CHECK_PERIOD_MS, self.store_watch.check
        )
        start("store gaps", self.store_watch.close_gaps)
        start_periodic(
            "store calls", STORE_CALLS_PERIOD_MS, self.store_calls.report
        )
        LOG.info(
            "gateway: started",
            instance=settings.instance,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
        )

    def _peer_network_address(self, port: int) -> settings_module.Address:
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
            keepalive_timeout=CALLER_KEEPALIVE_S,
            auto_decompress=False,
            max_line_size=1 << 16,
            max_field_size=1 << 16,
        )
        runner = web.ServerRunner(
            server, shutdown_timeout=HANDLER_CLOSE_TIMEOUT_S
        )
        await runner.setup()
        site = web.TCPSite(
            runner, address.host, address.port, reuse_address=True
        )
        await site.start()
        self._runners.append(runner)

    async def _handle_peer(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path.startswith(f"{relaying.PATH_PREFIX}/"):
            return await self.relay.handle(request)
        return await self.peer_calls.handle(request)

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

    async def _reload_changed_settings(self) -> None:
        if (
            self._platform.settings_modification_time_s()
            != self._settings_modification_time_s
        ):
            self.read_settings()

    def read_settings(self) -> None:
        """Apply changed settings; identity and addresses stay the same."""
        self._settings_modification_time_s = (
            self._platform.settings_modification_time_s()
        )
        try:
            changed = self._platform.read_settings()
        except settings_module.SettingsError as error:
            LOG.error("gateway: settings not usable", error=str(error))
            return
        self.state.settings = dataclasses.replace(
            changed,
            instance=self.settings.instance,
            callers=self.settings.callers,
            readiness=self.settings.readiness,
            peers_host=self.settings.peers_host,
            peers_port=self.settings.peers_port,
            metrics_port=self.settings.metrics_port,
        )
        LOG.info("gateway: settings read again")

    # Changes that the store reports.

    def _apply_configuration_changes(
        self, changes: interfaces.Changes, is_full: bool
    ) -> None:
        self.evacuation_rows.apply(
            changes, is_full, self.configurations.current_ms
        )
        for change in changes.changes:
            if (
                change.key == self._platform.configuration_key
                and change.value is not None
            ):
                self._apply_configuration(change.value, "store")

    def _apply_configuration(self, raw: bytes, source: str) -> None:
        try:
            is_new = self.state.apply_configuration(raw)
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
                urgent_by_priority=sorted(configuration.urgent_by_priority),
            )

    def _apply_target_changes(
        self, changes: interfaces.Changes, is_full: bool
    ) -> None:
        registry, reachable_since_ms = (
            self.state.targets,
            self.targets.reachable_since_ms,
        )
        is_after_outage = (
            self.state.targets_version.number > 0
            and self.clock.now_ms() - reachable_since_ms
            < target_registry.RETURN_GRACE_MS
        )
        self.state.set_targets_version(changes.version)
        for change in changes.changes:
            self._apply_target(
                change.key,
                change.value,
                reachable_since_ms,
                is_after_outage,
            )
        if is_full:
            present = {ids.TargetId(change.key) for change in changes.changes}
            registry.remove_absent(present, reachable_since_ms)
        self.evacuation_rows.note_cold()

    def _apply_target(
        self,
        key: str,
        value: bytes | None,
        reachable_since_ms: int,
        is_after_outage: bool = False,
    ) -> None:
        """Apply an entry, or its removal if the value is None."""
        target_id = ids.TargetId(key)
        if value is None:
            self.state.targets.remove(target_id, reachable_since_ms)
            return
        try:
            target = self.state.codec.decode_target(key, value)
        except interfaces.MalformedMessage as error:
            LOG.warning(
                "gateway: entry not usable", target=key, error=str(error)
            )
            self.state.targets.remove(target_id, clocks.NEVER_MS)
            return
        self.state.targets.put(target, is_after_outage)

    def _apply_fleet_changes(
        self, changes: interfaces.Changes, is_full: bool
    ) -> None:
        if is_full:
            read = {change.key for change in changes.changes}
            self._row_by_member = {
                name: member
                for name, member in self._row_by_member.items()
                if member_rows.PREFIX + name in read
            }
            self.stored_rows.forget_suspects()
            self.exchange.origins.is_stored = any(
                change.key == stored_rows.SOFTWARE_KEY
                for change in changes.changes
            )
        for change in changes.changes:
            if self.stored_rows.apply(change.key, change.value):
                continue
            if change.key.startswith(member_rows.PREFIX):
                self._apply_member(
                    change.key.removeprefix(member_rows.PREFIX), change.value
                )
        self.link.set_members(self._row_by_member.values())
        self.state.set_members(
            [name for name in self._row_by_member if name != self._name]
        )

    def _apply_member(self, name: str, value: bytes | None) -> None:
        """Apply the row of an instance, or its removal if the value is None.

        A row that can't be used changes nothing.
        """
        if value is None:
            self._row_by_member.pop(name, None)
            return
        try:
            self._row_by_member[name] = member_rows.decode(name, value)
        except interfaces.MalformedMessage as error:
            LOG.warning(
                "gateway: instance not usable", member=name, error=str(error)
            )

    @property
    def _name(self) -> ids.InstanceId:
        return self.settings.instance

    async def _register(self) -> None:
        """Write this instance's row, which replaces that of an earlier start.

        Retries until the store accepts it.
        """
        key = member_rows.PREFIX + self._name
        row = member_rows.encode(
            peers.own_member(self.settings, self.incarnation)
        )
        while True:
            result = await self._table.commit({}, {key: row})
            if result.committed:
                return
            await self.clock.sleep_ms(REGISTER_RETRY_MS)

    async def _update_members(self) -> None:
        """Restore this instance's row; remove rows of failed instances.

        Only the holder of the lease removes rows, and only while it receives
        messages from another instance.
        """
        if not self.fleet.is_reached or self.state.is_stopping:
            return
        if self._name not in self._row_by_member:
            await self._register()
        if not self.placer.is_holder or not self.link.fresh_peers():
            return
        now_ms = self.clock.now_ms()
        for member in list(self.link.member_by_id):
            peer = self.link.peer_by_id.get(member)
            received_ms = peer.received_ms if peer else self._started_ms
            if now_ms - received_ms > MEMBER_SILENT_MS:
                LOG.info("gateway: member dropped", member=member)
                await self._table.commit({}, {}, [member_rows.PREFIX + member])

    def _note_answer(
        self, record: target_records.TargetRecord, answer: model.AnswerHead
    ) -> None:
        """Record what the head of a target's answer says of the target."""
        self.exchange.limits.note_answer(record, answer)
        if answer.warmup_ms:
            record.cold.note_stated(self.clock.now_ms(), answer.warmup_ms)
        if answer.is_leaving:
            self.state.targets.note_stated_leaving(record)
        if answer.retry_after_ms:
            self.state.targets.pause(record, answer.retry_after_ms)
        else:
            record.pause.note_answer(self.clock.now_ms())

    def _report_software(self, service: model.ServiceId) -> None:
        """Tell peers and the store of a service's other software version."""
        self.exchange.origins.report_all(service)
        self._group.run_in_background(self.stored_rows.store_software())

    # Exchange with peers.

    async def _find_origin(
        self, attempt: ids.AttemptId, service: model.ServiceId
    ) -> stream_origins.Origin | None:
        return await self.exchange.origins.find(
            attempt, service, self.peer_calls.ask_origin
        )

    def _versions(self) -> dict[str, int]:
        configuration = self.state.configuration
        versions = {
            "cv": configuration.version if configuration else 0,
            "tv": self.targets.last_change.number,
            "te": self.targets.last_change.era,
        }
        evacuation = self.evacuation_rows.last_change
        if evacuation.number:
            versions |= {"ee": evacuation.era, "ev": evacuation.number}
        return versions

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
        return await self.peer_calls.request_adapter(
            holder.member, target.id, name, adapter
        )

    async def _close_holdings_gaps(self) -> None:
        await self.exchange.holdings.close_gaps(self._fetch_holdings)

    async def _fetch_holdings(
        self, holder: ids.InstanceId
    ) -> dict[str, typing.Any] | None:
        member = self.link.member_by_id.get(holder)
        if member is None:
            return None
        return await self.peer_calls.fetch_holdings(member)

    def _changes_since(
        self, topic: interfaces.Topic, known: tables.StoreVersion
    ) -> store_relay.Message | None:
        follower = self._follower_by_topic.get(topic)
        return None if follower is None else follower.message_since(known)

    async def _catch_up(self) -> None:
        """Get configuration and targets from a peer if this one lags."""
        now_ms, own = self.clock.now_ms(), self._versions()
        # The rows that are known here are complete up to this version.
        configurations = self.configurations.version
        for keys, known, follower, lag_ms in (
            (("cv",), [own["cv"]], self.configurations, CONFIGURATION_LAG_MS),
            (
                ("ee", "ev"),
                [configurations.era, configurations.number],
                self.configurations,
                CONFIGURATION_LAG_MS,
            ),
            (
                ("te", "tv"),
                [own["te"], own["tv"]],
                self.targets,
                TARGETS_LAG_MS,
            ),
        ):
            ahead = self._peers_ahead(keys, known, follower, lag_ms)
            due_ms = self._next_catch_up_ms.get(follower.topic, now_ms)
            if not ahead or now_ms < due_ms:
                continue
            self._next_catch_up_ms[follower.topic] = (
                now_ms + CATCH_UP_CALL_PERIOD_MS
            )
            peer = min(
                ahead,
                key=lambda p: (
                    p.member.data_centre != self.settings.data_centre
                ),
            )
            if await self.store_watch.catch_up(follower.topic, peer.member):
                follower.restart_call()

    def _peers_ahead(
        self,
        keys: tuple[str, ...],
        known: list[int],
        follower: followers.Follower,
        lag_ms: int,
    ) -> list[peers.Peer]:
        """Return peers with later changes of a topic than this instance.

        ``keys`` are those of the version in a state update, and ``known`` is
        what this instance has of it.
        Returns none until this instance has lagged for ``lag_ms``, and none
        if its own call to the store for the topic is more recent than that.
        """
        now_ms = self.clock.now_ms()
        ahead = [
            peer
            for peer in self.link.fresh_peers()
            if [peer.update.get(key, 0) for key in keys] > known
        ]
        if not ahead:
            self._behind_since_ms.pop(keys, None)
            return []
        since_ms = self._behind_since_ms.setdefault(keys, now_ms)
        if not follower.is_reached:
            lag_ms = CONFIGURATION_LAG_MS
        elif not follower.reads_store():
            lag_ms += RELAY_LAG_MS
        if now_ms - since_ms < lag_ms or not follower.is_silent(lag_ms):
            return []
        return ahead

    # Demand of requests that wait for a model.

    def _report_waiting(self) -> None:
        """Report the models that requests wait for to the lease holder."""
        holder = self.exchange.holder()
        if holder is not None:
            self.link.send_update([holder.member], peers.Audience.HOLDER)

    # Planned shutdown.

    def begin_stop(self) -> None:
        """Begin a planned shutdown; ``stopped`` is set at its end."""
        if self._stop_task is None:
            self.state.is_stopping = True
            self._stop_task = asyncio.create_task(self._stop())

    async def _stop(self) -> None:
        """Report not ready, finish requests, hand the lease over, close.

        Orders go on until the lease is released, as no other instance may
        send them before.
        """
        started_ms = self.clock.now_ms()
        LOG.info("gateway: stopping", in_flight=self.forwarder.in_flight)
        await self.clock.sleep_ms(STOP_ACCEPTING_DELAY_MS)
        self.state.is_closing = True
        self.state.targets.notify()
        end_ms = started_ms + self.settings.grace_ms - CLOSE_RESERVE_MS
        await self._wait_for_requests(end_ms - FINAL_WRITES_TIMEOUT_MS)
        await asyncio.gather(
            self._release_lease_and_row(), self._wait_for_requests(end_ms)
        )
        self.forwarder.end_requests()
        await self._wait_for_requests(end_ms + FINAL_ANSWERS_MS)
        await self.close()
        LOG.info("gateway: stopped", in_flight=self.forwarder.in_flight)
        self.stopped.set()

    async def _wait_for_requests(self, end_ms: int) -> None:
        """Wait until no request is in flight, at most until ``end_ms``."""
        while self.clock.now_ms() < end_ms and (
            self.forwarder.in_flight or self.relay.in_flight
        ):
            await self.clock.sleep_ms(50)

    async def _release_lease_and_row(self) -> None:
        """Release the lease and remove this instance's row.

        Gives up if the store does not answer in time.
        """
        await self.placer.stop()
        try:
            async with asyncio.timeout(FINAL_WRITES_TIMEOUT_MS / 1000):
                await self.lease.release(self.placer.handover())
                await self._table.commit(
                    {}, {}, [member_rows.PREFIX + self._name]
                )
        except TimeoutError:
            LOG.warning("gateway: the store did not take the leave in time")

    async def close(self) -> None:
        """Stop every task and close every connection."""
        for runner in reversed(self._runners):  # caller port first
            await runner.cleanup()
        self._runners.clear()
        self.link.close()
        await self._group.stop_all()
        await self.target_client.close()
        await self.peer_calls.close()
        await self._engines.close()
        await self._store.close()


def open_platform(name: str) -> interfaces.Platform:
    """Return the platform adapter that is registered under a name."""
    platform: interfaces.Platform = registry.PLUGINS.create(
        interfaces.PLUGIN_KIND, name
    )
    return platform
