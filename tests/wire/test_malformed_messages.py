"""Tests of messages whose fields have the wrong type or are missing."""

import contextlib
import copy
import typing

import aiohttp
import orjson
import pytest

from cardamom_gateway.fleet import member_rows
from cardamom_gateway import interfaces
from cardamom_wire import configuration
from cardamom_wire import headers
from cardamom_wire import targets
from tests.wire import scenarios
from tests.wire import standins
from tests.wire import test_messages

HUGE = "huge number"  # JSON allows more than a float holds
# Texts that stand for JSON that orjson doesn't write.
RAW_BY_TEXT = {
    HUGE: b"1e999",
    "large number": b"1e300",
    "large integer": b"18446744073709551617",
    # More than Python prints, and less than orjson refuses.
    "deep list": b"[" * 1_000 + b"]" * 1_000,
}
VALUES: tuple[typing.Any, ...] = (
    None,
    4,
    -1,
    True,
    "x",
    [],
    {},
    [4],
    ["x"],
    [{}],
    {"name": 4},
    *RAW_BY_TEXT,
)
Path = tuple[typing.Any, ...]
MEMBER = orjson.dumps(
    {
        "host": "10.1.0.1",
        "port": 7600,
        "data_centre": "bog-a",
        "incarnation": "a1b2c3",
    }
)


def paths(value: typing.Any, prefix: Path = ()) -> typing.Iterator[Path]:
    """Yield the path of each value inside a value."""
    items: typing.Iterable[tuple[typing.Any, typing.Any]] = ()
    if isinstance(value, dict):
        items = value.items()
    if isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (*prefix, key)
        yield from paths(inner, (*prefix, key))


def variants(message: bytes) -> typing.Iterator[bytes]:
    """Yield a message with each of its values replaced by others."""
    original = orjson.loads(message)
    for path in paths(original):
        for value in VALUES:
            changed = copy.deepcopy(original)
            parent = changed
            for key in path[:-1]:
                parent = parent[key]
            parent[path[-1]] = value
            data = orjson.dumps(changed)
            for text, raw in RAW_BY_TEXT.items():
                data = data.replace(f'"{text}"'.encode(), raw)
            yield data


class TestMalformedFields:
    """Messages that another writer has got wrong."""

    @pytest.mark.parametrize(
        ("message", "decode"),
        [
            (
                test_messages.ENTRY,
                lambda data: targets.decode_entry("i-1", data),
            ),
            (test_messages.REPORT, targets.decode_report),
            (test_messages.CONFIGURATION, configuration.decode),
            (MEMBER, lambda data: member_rows.decode("frontend-1", data)),
        ],
        ids=["entry", "report", "configuration", "instance"],
    )
    def test_decoder_raises_no_other_error(
        self, message: bytes, decode: typing.Callable[[bytes], object]
    ) -> None:
        """It would end the task that follows the store."""
        for data in variants(message):
            with contextlib.suppress(interfaces.MalformedMessage):
                decode(data)


class TestUsableValues:
    """Values that are decoded have to be usable wherever they are sent."""

    @pytest.mark.parametrize(
        "address",
        [
            "[::1:80",
            "[::1]:80",
            "host.example:80",
            "a" * 300 + ":80",
            "10.1.1.1:0",
            "10.1.1.1:65536",
            "10.1.1.1:\u00b2",
            "10.1.1.256:80",
            "10.1.1.1/x:80",
            ":80",
        ],
    )
    def test_address_that_no_connection_can_use_is_malformed(
        self, address: str
    ) -> None:
        """Each request got a 500, or the exchange with peers ended."""
        entry = orjson.loads(test_messages.ENTRY) | {"address": address}
        with pytest.raises(interfaces.MalformedMessage, match="address"):
            targets.decode_entry("i-1", orjson.dumps(entry))

    @pytest.mark.parametrize(
        "change",
        [
            {"port": 0},
            {"port": 65_536},
            {"port": -1},
            {"host": "host.example"},
            {"host": ""},
            {"host": "a" * 300},
        ],
    )
    def test_instance_that_no_datagram_reaches_is_malformed(
        self, change: dict[str, object]
    ) -> None:
        """The socket for all peers was closed when one was sent there."""
        row = orjson.dumps(orjson.loads(MEMBER) | change)
        with pytest.raises(interfaces.MalformedMessage):
            member_rows.decode("frontend-1", row)

    @pytest.mark.parametrize("key", ["i-1\r\nTenant: x", "i 1", "i-\u00e9"])
    def test_id_that_no_header_can_hold_is_malformed(self, key: str) -> None:
        """Each request to it failed without an answer of the target."""
        with pytest.raises(interfaces.MalformedMessage, match="id"):
            targets.decode_entry(key, test_messages.ENTRY)

    def test_decoded_numbers_can_be_sent_to_peers(self) -> None:
        """A message with the leaving of other targets was lost."""
        for data in variants(test_messages.ENTRY):
            with contextlib.suppress(interfaces.MalformedMessage):
                target = targets.decode_entry("i-1", data)
                orjson.dumps(
                    [target.started_ms, target.entry_sequence, target.slots]
                )

    @pytest.mark.parametrize("value", ["1e300,1", "1,1e300", "9" * 5_000])
    def test_token_usage_beyond_any_prompt_is_malformed(
        self, value: str
    ) -> None:
        """State updates to peers failed while such a request waited."""
        with pytest.raises(interfaces.MalformedMessage, match="Token-Usage"):
            headers.decode_head({headers.TOKEN_USAGE: value})

    @pytest.mark.parametrize("value", ["1e300", "inf", "nan", "-1", "x"])
    def test_limit_beyond_any_rate_is_none(self, value: str) -> None:
        """Reports of limits to peers failed."""
        head = headers.decode_answer(
            {headers.SERVER_LIMIT: value, headers.SERVER_BRITTLE: value}
        )
        assert head.rate_limit_per_s is None
        assert head.tolerated_rejections is None
        assert head.malformed_limit == value

    @pytest.mark.parametrize("seconds", ["\u00b2", "9" * 5_000])
    def test_keep_alive_time_that_is_no_number_is_ignored(
        self, seconds: str
    ) -> None:
        """A sound answer counted as a failed one."""
        head = headers.decode_answer(
            {headers.KEEP_ALIVE: f"timeout={seconds}"}
        )
        assert head.keep_alive_ms is None


class TestMalformedRows:
    """Rows of instances that another build has written."""

    def test_instances_after_a_malformed_row_are_known(self) -> None:
        """Their counts would be missing from all limits."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            gateway = deployment.gateways[0]
            table, own = "cardamomway", f"{member_rows.PREFIX}frontend-0"
            good = orjson.loads(deployment.store.raw(table, own))
            for row in (b"\xff", b"[]", orjson.dumps(good | {"port": "x"})):
                deployment.store.put(table, f"{member_rows.PREFIX}ghost", row)
                deployment.store.put(table, f"{member_rows.PREFIX}late", good)
                deployment.store.forget_history()  # a full read of all rows
                await standins.wait_until(
                    lambda: "late" in gateway.link.member_by_id, 3.0
                )
                assert "ghost" not in gateway.link.member_by_id
                # What was known of an instance outlasts a malformed row.
                deployment.store.put(
                    table, f"{member_rows.PREFIX}late", b"\xff"
                )
                deployment.store.put(table, f"{member_rows.PREFIX}last", good)
                deployment.store.forget_history()
                await standins.wait_until(
                    lambda: "last" in gateway.link.member_by_id, 3.0
                )
                assert "late" in gateway.link.member_by_id
                for name in ("late", "last"):
                    deployment.store.remove(
                        table, f"{member_rows.PREFIX}{name}"
                    )
                await standins.wait_until(
                    lambda: (
                        not {"late", "last"} & {*gateway.link.member_by_id}
                    ),
                    3.0,
                )

        scenarios.run_scenario(scenario, plain=1, engines=0)
