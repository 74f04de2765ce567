"""One instance of cardamomd: components, tasks and planned stop."""

import asyncio

from aiohttp import web
import structlog

from cardamom_daemon import at_most_once_calls
from cardamom_daemon import caller_port
from cardamom_daemon import changes
from cardamom_daemon import demand
from cardamom_daemon import dispatcher
from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import model_calls
from cardamom_daemon import operator_port
from cardamom_daemon import peer_port
from cardamom_daemon import placer
from cardamom_daemon import plain_calls
from cardamom_daemon import roster_keeper
from cardamom_daemon import running
from cardamom_daemon import settings as settings_module
from cardamom_daemon import share_broker
from cardamom_daemon import status
from cardamom_daemon import suspect_permits
from cardamom_daemon import table_sync
from cardamom_daemon import targets
from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import registry
from cardamom_kernel import tasks
from cardamom_kernel import telemetry
from cardamom_platform import interfaces
from cardamom_platform import plugins
from cardamom_platform import pools
from cardamom_policy import retries

LOG = structlog.get_logger("cardamom.app")

CHECK_INTERVAL_MS = 100
ROSTER_INTERVAL_MS = 300
LIST_INTERVAL_MS = 1_000
LEASE_INTERVAL_MS = 1_500
PLACEMENT_INTERVAL_MS = 250
UNREADY_GRACE_MS = 2_000
KEEPALIVE_S = 75.0

# Importing the module registers the built-in plug-ins.
PLUGIN_MODULE = plugins


class Instance:
    """One instance of cardamomd; ``stopped`` is set after a drain."""

    def __init__(
        self,
        settings: settings_module.Settings,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or clocks.MonotonicClock()
        self.metrics = telemetry.Metrics(
            settings.statsd_host,
            settings.statsd_port,
        )
        tracer = telemetry.configure_traces(
            settings.trace_export,
            settings.trace_ratio,
            settings.instance,
        )
        self._platform_pool = pools.Pool(
            pools.PoolSettings(source_address=settings.source_address)
        )
        table = registry.PLUGINS.create(
            "table",
            settings.table_plugin,
            self._platform_pool,
            settings.table_url,
        )
        self.fleet = fleets.Fleet(
            settings,
            self.clock,
            table,
            self.metrics,
            tracer,
        )
        self.stopped = asyncio.Event()
        self._group = tasks.TaskGroup(self.clock)
        self._runners: list[web.AppRunner] = []
        self._drain_task: asyncio.Task[None] | None = None
        self._build_components()

    def _build_components(self) -> None:
        fleet, group = self.fleet, self._group
        self.running = running.RunningRequests(fleet)
        self.meter = demand.DemandMeter(self.clock)
        self.target_registry = targets.TargetRegistry(fleet, group)
        self.gossip = gossips.Gossip(
            fleet,
            group,
            self.meter,
            self.target_registry.in_flight,
        )
        self.table_sync = table_sync.TableSync(fleet)
        self.keeper = roster_keeper.RosterKeeper(
            fleet,
            self.gossip,
            self.table_sync,
        )
        self.broker = share_broker.ShareBroker(fleet, self.gossip)
        self.dispatcher = dispatcher.Dispatcher(
            fleet,
            self.target_registry,
            self.meter,
            self.gossip.peers_in_flight,
        )
        self.placer = placer.Placer(
            fleet, self.target_registry, self.gossip, self.meter
        )
        self.instance_list = self._make_list()
        self._budget = retries.RetryBudget(10)
        self.at_most_once_calls = at_most_once_calls.AtMostOnceCalls(
            fleet,
            self.target_registry,
            self._make_objects(),
            self.gossip,
            group,
        )
        self.permits = suspect_permits.SuspectPermits(fleet, self.gossip)
        self.callers = caller_port.CallerPort(
            fleet,
            self.broker,
            model_calls.ModelCalls(
                fleet,
                self.broker,
                self.dispatcher,
                self.target_registry,
                self.meter,
                self.gossip,
                self._budget,
                group,
                self.permits,
            ),
            plain_calls.PlainCalls(fleet, self.target_registry, self._budget),
            self.at_most_once_calls,
            self.running,
        )
        self.changes = changes.Changes(fleet, self.gossip, self.table_sync)
        self.status_report = status.StatusReport(
            fleet,
            self.gossip,
            self.target_registry,
            self.placer,
            self.table_sync,
        )
        fleet.listen_configuration(self._apply_configuration)

    def _make_list(self) -> interfaces.InstanceList | None:
        if not self.settings.list_url:
            return None
        instance_list: interfaces.InstanceList = registry.PLUGINS.create(
            "instance-list",
            self.settings.list_plugin,
            self._platform_pool,
            self.settings.list_url,
        )
        return instance_list

    def _make_objects(self) -> interfaces.ObjectStore | None:
        if not self.settings.objects_url:
            return None
        object_store: interfaces.ObjectStore = registry.PLUGINS.create(
            "objects",
            self.settings.objects_plugin,
            self._platform_pool,
            self.settings.objects_url,
        )
        return object_store

    def _apply_configuration(self) -> None:
        limits = self.fleet.catalog.configuration.limits
        self._budget.configure(limits.retry_budget_percent)
        self.target_registry.reconfigure()

    async def start(self) -> None:
        """Open the ports and start the background tasks.

        Raises OSError if a port can't be opened.
        """
        settings = self.settings
        peers = peer_port.PeerPort(
            self.fleet,
            self.gossip,
            self.keeper,
            self.permits,
        )
        operators = operator_port.OperatorPort(
            self.fleet,
            self.changes,
            self.status_report,
            self.begin_drain,
        )
        await self._listen(peers.application(), settings.peer_port)
        await self._listen(operators.application(), settings.operator_port)
        runner = await self._listen(
            self.callers.application(),
            settings.caller_port,
        )
        server = runner.server
        assert server is not None
        self.callers.count_connections = lambda: len(server.connections)
        self.gossip.start()
        start_periodic = self._group.start_periodic
        start_periodic("table", settings.table_poll_ms, self._poll_table)
        start_periodic("roster", ROSTER_INTERVAL_MS, self.keeper.keep)
        start_periodic("list", LIST_INTERVAL_MS, self._update_from_list)
        start_periodic("shares", ROSTER_INTERVAL_MS, self.broker.reconcile)
        start_periodic(
            "expiry", CHECK_INTERVAL_MS, self.dispatcher.refuse_expired
        )
        start_periodic(
            "running", running.CHECK_INTERVAL_MS, self.running.cancel_if_stale
        )
        start_periodic("lease", LEASE_INTERVAL_MS, self.placer.contend)
        start_periodic("placement", PLACEMENT_INTERVAL_MS, self.placer.place)
        LOG.info("app: started", address=settings.peer_address)

    async def _listen(
        self,
        application: web.Application,
        port: int,
    ) -> web.AppRunner:
        runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=self.settings.max_header_bytes,
            max_field_size=self.settings.max_header_bytes,
            shutdown_timeout=1.0,
        )
        await runner.setup()
        site = web.TCPSite(
            runner,
            self.settings.host,
            port,
            reuse_address=True,
        )
        await site.start()
        self._runners.append(runner)
        return runner

    async def _poll_table(self) -> None:
        await self.table_sync.poll()

    async def _update_from_list(self) -> None:
        """Announce this instance in the instance list and read the list."""
        if self.instance_list is None:
            return
        try:
            await self.instance_list.announce(self._own_list_entry())
            entries = await self.instance_list.instances()
        except interfaces.ListUnavailable as error:
            LOG.debug("app: instance list unavailable", error=str(error))
            return
        self.fleet.leaving_targets = frozenset(
            entry.id
            for entry in entries
            if entry.state is interfaces.InstanceState.LEAVING
        )
        self.keeper.process_list(entries)

    def _own_list_entry(self) -> interfaces.ListedInstance:
        state = (
            interfaces.InstanceState.LEAVING
            if self.fleet.is_draining
            else interfaces.InstanceState.LIVE
        )
        return interfaces.ListedInstance(
            self.fleet.instance,
            self.settings.peer_address,
            ids.DataCentreId(self.settings.data_centre),
            state,
        )

    def begin_drain(self) -> None:
        """Start a planned stop, once; ``stopped`` is set at its end."""
        if self._drain_task is None:
            self._drain_task = asyncio.create_task(self._drain())

    async def _drain(self) -> None:
        """Become unready, finish running requests, give up the seat, stop."""
        self.fleet.is_draining = True
        LOG.info("app: draining")
        await self._update_from_list()
        await self.clock.sleep_ms(UNREADY_GRACE_MS)
        caller_runner = self._runners[-1]
        for site in list(caller_runner.sites):
            await site.stop()
        await self._wait_until_idle()
        await self.broker.give_away()
        await self.keeper.leave()
        await self.placer.lease.release()
        await self.close()
        LOG.info("app: stopped")
        self.stopped.set()

    async def _wait_until_idle(self) -> None:
        """Wait for running requests, for the drain timeout at most."""
        end_ms = self.clock.now_ms() + self.settings.drain_timeout_ms
        while self.clock.now_ms() < end_ms:
            if (
                not self.callers.in_flight
                and not self.at_most_once_calls.in_flight
            ):
                return
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
        LOG.warning("app: drain timed out", left=self.callers.in_flight)

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        for runner in self._runners:
            await runner.cleanup()
        self._runners.clear()
        await self._group.stop_all()
        await self.at_most_once_calls.close()
        await self.target_registry.close()
        await self.gossip.close()
        await self._platform_pool.close()
