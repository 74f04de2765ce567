"""Tests of what instances know after the store was away."""

import asyncio

import aiohttp
import orjson
import pytest

from cardamom_gateway.engines import order_lease
from cardamom_gateway.fleet import member_rows
from cardamom_gateway.fleet import stored_rows
from cardamom_gateway import gateway as gateway_module
from cardamom_gateway import interfaces
from cardamom_gateway.targets import target_registry
from cardamom_kernel import tables
from cardamom_wire import store as store_module
from tests.wire import scenarios
from tests.wire import standins

# The operators count a change from this long after the store's return, and
# it has to be in force this much later.
STABLE_S = 3.0
IN_FORCE_S = 2.0
AWAY_S = 2.0
RETURN_GRACE_S = target_registry.RETURN_GRACE_MS / 1000 + 0.1
FLEET_TABLE = store_module.TABLE_BY_TOPIC[interfaces.Topic.FLEET]
# Calls of an instance in the seconds after the store's return: each topic is
# asked for changes and read in full, some of it twice, beside the lease.
MAX_CALLS = 20


def usable(gateway: gateway_module.Gateway) -> set[str]:
    """Return the names of the targets that may get new requests."""
    return {
        record.target.id
        for record in gateway.state.targets.by_id.values()
        if record.is_usable
    }


def configuration_version(gateway: gateway_module.Gateway) -> int:
    """Return the version of the configuration in force."""
    assert gateway.state.configuration is not None
    return gateway.state.configuration.version


class TestSilentStore:
    """A store that swallows calls and then serves again."""

    def test_changes_are_heard_after_calls_were_swallowed(self) -> None:
        """A call that arrived in the silence would be waited for for long."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store, leaving = deployment.store, deployment.replicas[0]
            deployment.register(leaving)
            store.put("op", "config", standins.configuration(8))
            await standins.wait_until(
                lambda: all(
                    configuration_version(gateway) == 8
                    for gateway in deployment.gateways
                )
            )
            store.is_silent = True
            store.answer_feeds()
            await asyncio.sleep(AWAY_S)
            store.is_silent = False
            await asyncio.sleep(STABLE_S)
            leaving.state = "draining"
            deployment.register(leaving)
            store.put("op", "config", standins.configuration(9))
            await standins.wait_until(
                lambda: all(
                    usable(gateway) == {"p1"}
                    and configuration_version(gateway) == 9
                    for gateway in deployment.gateways
                ),
                timeout_s=IN_FORCE_S,
            )

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=5)


class TestOlderCopy:
    """A store that comes back from an older copy."""

    def test_write_under_a_version_of_an_earlier_era_is_not_sent(
        self,
    ) -> None:
        """The number may stand for another row, which it would overwrite."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            gateway, store = deployment.gateways[0], deployment.store
            table = gateway._store.table(interfaces.Topic.FLEET)
            for _ in range(3):
                await table.commit({}, {"row": {"by": "first"}})
            row = (await table.read(["row"]))["row"]
            store.return_from_copy(2)
            name = next(n for n in store.row_by_name if n[1] == "row")
            while store.version < row.version & 0xFFFFFFFF:
                store.put(*name, {"by": "second"})
            await table.read(["other"])
            result = await table.commit(
                {"row": row.version}, {"row": {"by": "first"}}
            )
            assert result.state is tables.CommitState.CONFLICT
            assert store.raw(*name) == b'{"by":"second"}'

        scenarios.run_scenario(scenario, plain=1, engines=0)

    @pytest.mark.parametrize("lost_writes", [24, 120])
    def test_leaving_after_the_return_is_heard(self, lost_writes: int) -> None:
        """Versions that were known already would be taken for old ones."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store, leaving = deployment.store, deployment.replicas[0]
            for number in range(lost_writes):
                store.put("other", "row", number)
            deployment.register(deployment.replicas[1])
            await standins.wait_until(
                lambda: all(
                    gateway.targets.version.number == store.version
                    for gateway in deployment.gateways
                )
            )
            store.is_silent = True
            store.answer_feeds()
            await asyncio.sleep(AWAY_S)
            store.return_from_copy(lost_writes)
            store.is_silent = False
            store.calls.clear()
            await asyncio.sleep(STABLE_S)
            assert len(store.calls) <= MAX_CALLS * len(deployment.gateways)
            leaving.state = "draining"
            deployment.register(leaving)
            await standins.wait_until(
                lambda: all(
                    usable(gateway) == {"p1"}
                    for gateway in deployment.gateways
                ),
                timeout_s=IN_FORCE_S,
            )

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=5)

    def test_own_rows_are_written_again(self) -> None:
        """Instances that start later would not find them."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store = deployment.store
            names = {
                (FLEET_TABLE, member_rows.PREFIX + g._name)
                for g in deployment.gateways
            } | {(FLEET_TABLE, stored_rows.SOFTWARE_KEY)}
            await standins.wait_until(lambda: names <= set(store.row_by_name))
            store.return_from_copy(len(store.written) - 1)
            assert not names & set(store.row_by_name)
            await standins.wait_until(lambda: names <= set(store.row_by_name))

        scenarios.run_scenario(scenario, plain=1, engines=0, gateways=2)

    def test_removed_target_does_not_come_back(self) -> None:
        """Its entry is in the copy, and it may still serve."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store, gone = deployment.store, deployment.replicas[0]
            gateway = deployment.gateways[0]
            await asyncio.sleep(RETURN_GRACE_S)
            kept_writes = len(store.written)
            store.remove("servers", gone.name)
            await standins.wait_until(lambda: usable(gateway) == {"p1"})
            # The instance may have written rows since.
            store.return_from_copy(len(store.written) - kept_writes)
            assert ("servers", gone.name) in store.row_by_name
            store.answer_feeds()
            await standins.wait_until(
                lambda: gateway.targets.last_change.era == 2
            )
            assert usable(gateway) == {"p1"}

        scenarios.run_scenario(scenario, plain=2, engines=0)


class TestOrdersAroundOutages:
    """Outages of the whole store that are longer than the lease for orders."""

    OUTAGE_S = order_lease.LEASE_TTL_MS / 1000 + 0.8
    MOMENT_S = 0.8

    def test_at_most_one_instance_orders(self) -> None:
        """A successor counted the outage as silence of the holder.

        Between two outages the store serves all instances but the holder.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            gateways, store = deployment.gateways, deployment.store
            await standins.wait_until(
                lambda: any(g.placer.may_order for g in gateways)
            )
            holder = next(g for g in gateways if g.placer.may_order)
            (other,) = (g for g in gateways if g is not holder)
            await standins.wait_until(
                lambda: other.lease.seen_holder == holder.settings.instance
            )
            ordering: set[str] = set()
            watch = asyncio.create_task(watch_orders(gateways, ordering))
            calls_of_holder = holder._store._store
            assert isinstance(calls_of_holder, store_module.HttpStore)
            for _ in range(2):
                store.is_down = True
                store.forget_history()  # ends the open feed calls
                await asyncio.sleep(self.OUTAGE_S)
                calls_of_holder._base = "http://127.0.0.1:9"
                store.is_down = False
                await asyncio.sleep(self.MOMENT_S)
            store.is_down = True
            store.forget_history()
            await asyncio.sleep(self.OUTAGE_S)
            calls_of_holder._base = f"http://{store.address}"
            store.is_down = False
            await asyncio.sleep(self.MOMENT_S)
            assert not watch.done()
            watch.cancel()
            assert ordering == {holder.settings.instance}

        scenarios.run_scenario(scenario, plain=1, engines=1, gateways=2)


async def watch_orders(
    gateways: list[gateway_module.Gateway], ordering: set[str]
) -> None:
    """Record which instances may order, until cancelled."""
    while True:
        ordering |= {
            gateway.settings.instance
            for gateway in gateways
            if gateway.placer.may_order
        }
        await asyncio.sleep(0.01)


class TestMalformedEntry:
    """An entry that another writer has got wrong."""

    @pytest.mark.parametrize(
        ("field", "raw"),
        [
            ("models", b'[{"name":"m1","adapters":4}]'),
            ("service", b"[" * 1_000 + b"]" * 1_000),
            ("sequence", b"1e300"),
            ("address", b'"127.0.0.1:65536"'),
            ("address", b'"[::1:80"'),
        ],
    )
    def test_changes_beside_it_are_applied(
        self, field: str, raw: bytes
    ) -> None:
        """A leaving in the same answer would be lost.

        Requests to the other targets are served.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store, leaving = deployment.store, deployment.replicas[0]
            entry = deployment.replicas[1].entry()
            entry[field] = "odd"
            odd = orjson.dumps(entry).replace(b'"odd"', raw)
            leaving.state = "draining"
            store.put("servers", "unknown", odd)
            deployment.register(leaving)
            await standins.wait_until(
                lambda: usable(deployment.gateways[0]) == {"p1"},
                timeout_s=IN_FORCE_S,
            )
            for number in range(4):
                async with session.get(
                    deployment.url("/read/a"),
                    headers=scenarios.headers(f"a{number}"),
                ) as answer:
                    assert answer.status == 200

        scenarios.run_scenario(scenario, plain=2, engines=0)
