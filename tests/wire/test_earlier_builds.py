"""Tests that rows and messages of earlier builds are understood.

Each file in ``samples`` has what three instances of a commit's build sent to
each other and stored, one message of each set of fields.
"""

import json
import pathlib
import typing
from unittest import mock

import aiohttp
import orjson
import pytest

from cardamom_gateway.fleet import member_rows
from cardamom_gateway.fleet import peers
from cardamom_gateway.fleet import stored_rows
from cardamom_gateway.fleet import usage
from cardamom_gateway import gateway as gateway_module
from cardamom_gateway.requests import stream_origins
from cardamom_kernel import ids
from tests.wire import scenarios
from tests.wire import standins

SAMPLES = {
    path.stem: json.loads(path.read_text())
    for path in (pathlib.Path(__file__).parent / "samples").glob("*.json")
}
FLEET = "cardamomway"
UNKNOWN = {"zz": {"a": [1, None, "x"]}, "zy": 7}
Update = dict[str, typing.Any]


def receive(
    gateway: gateway_module.Gateway, update: Update
) -> list[typing.Any]:
    """Let a gateway receive a message; return what it warns of."""
    with mock.patch.object(peers.LOG, "warning") as warning:
        gateway.link.datagram_received(
            orjson.dumps(update),
            (gateway.settings.peers_host, gateway.settings.peers_port),
        )
    return warning.call_args_list


def without_each(update: Update) -> typing.Iterator[Update]:
    """Yield a message without each of its fields."""
    for key in update:
        yield {name: value for name, value in update.items() if name != key}


@pytest.mark.parametrize("commit", SAMPLES)
class TestEarlierBuilds:
    """Instances of two builds run side by side during an upgrade."""

    def test_messages_are_understood(self, commit: str) -> None:
        """Counts, leavings and suspects of the other build would be lost."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (gateway,) = deployment.gateways
            for sample in SAMPLES[commit]["datagrams"]:
                update = sample | {"n": "frontend-9", "w": 0}
                assert receive(gateway, update) == []
                assert receive(gateway, update | UNKNOWN) == []
                for changed in without_each(update):
                    receive(gateway, changed)  # raises nothing
            peer = gateway.link.peer_by_id[ids.InstanceId("frontend-9")]
            assert "store" in peer.update

        scenarios.run_scenario(scenario, plain=1, engines=0)

    def test_rows_are_understood(self, commit: str) -> None:
        """What the other build has stored would be lost."""
        raw_by_key = {
            name.removeprefix(f"{FLEET}/"): raw.encode()
            for name, raw in SAMPLES[commit]["rows"].items()
        }
        for key, raw in raw_by_key.items():
            if key.startswith(member_rows.PREFIX):
                row = orjson.dumps(orjson.loads(raw) | UNKNOWN)
                assert member_rows.decode("frontend-0", row).port
        versions = stream_origins.decode_versions(
            raw_by_key[stored_rows.SOFTWARE_KEY]
        )
        assert any("v1" in known for known in versions.values())
        usage_row = raw_by_key[stored_rows.USAGE_KEY]
        assert usage.decode(usage_row, 10**9)
        lease = orjson.loads(raw_by_key["cardamomway-leases/lease/orders"])
        assert lease["number"] >= 1 and lease["holder"]
