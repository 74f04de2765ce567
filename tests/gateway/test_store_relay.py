"""Tests of changes of the store that instances pass on to each other."""

import base64
import zlib

import orjson
import pytest

from cardamom_gateway import interfaces
from cardamom_gateway.store import followers
from cardamom_gateway.store import store_relay
from cardamom_kernel import clocks
from cardamom_kernel import tables
from tests.gateway import test_followers

TOPIC = interfaces.Topic.TARGETS
REACHABLE_MS = 60_000


def changes(
    number: int, *keys: str, gone: tuple[str, ...] = (), era: int = 1
) -> interfaces.Changes:
    """Return an answer of the store."""
    rows = [interfaces.Change(key, b"{}", number) for key in keys]
    rows += [interfaces.Change(key, None, number) for key in gone]
    return interfaces.Changes(tuple(rows), tables.StoreVersion(era, number), 0)


def version(number: int, era: int = 1) -> tables.StoreVersion:
    """Return a version of the store."""
    return tables.StoreVersion(era, number)


class Peer:
    """A follower that gets all changes from a peer."""

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.follower = followers.Follower(
            test_followers.ScriptedStore(),
            clocks.MonotonicClock(),
            TOPIC,
            self._apply,
            reads_store=lambda: False,
        )

    def _apply(self, changes: interfaces.Changes, is_full: bool) -> None:
        if is_full:
            self.keys.clear()
        for row in changes.changes:
            if row.value is None:
                self.keys.discard(row.key)
            else:
                self.keys.add(row.key)

    def receive(self, message: store_relay.Message) -> bool:
        """Receive a message as it arrives."""
        return self.follower.receive(store_relay.decode(message.encode()))


def message_since(
    history: store_relay.TopicHistory, known: tables.StoreVersion
) -> store_relay.Message:
    """Return what a peer lacks."""
    return history.since(known, REACHABLE_MS, 0)


class TestHistory:
    """What an instance passes on to those that know less."""

    def test_each_peer_gets_what_it_lacks(self) -> None:
        """One that has missed some changes would need all rows."""
        history = store_relay.TopicHistory(TOPIC)
        history.record(changes(10, "a", "b"), True)
        history.record(changes(12, "c"), False)
        history.record(changes(13), False)
        history.record(changes(15, "d", gone=("a",)), False)
        for known, is_full in ((10, False), (12, False), (14, False)):
            peer = Peer()
            for start in (0, known):
                source = store_relay.TopicHistory(TOPIC)
                source.record(changes(10, "a", "b"), True)
                if known >= 12:
                    source.record(changes(12, "c"), False)
                source.record(changes(known), False)
                if not start:
                    assert peer.receive(message_since(source, version(0)))
            message = message_since(history, version(known))
            assert message.is_full is is_full
            assert peer.receive(message)
            assert peer.keys == {"b", "c", "d"}
        message = message_since(history, version(9))
        assert message.is_full
        assert {row.key for row in message.rows} == {"b", "c", "d"}

    def test_history_is_bounded(self) -> None:
        """It would grow with each change."""
        history = store_relay.TopicHistory(TOPIC)
        history.record(changes(1, "a"), True)
        for number in range(2, 1_000):
            history.record(changes(number, "a"), False)
        assert len(history._kept) == store_relay.MAX_KEPT_MESSAGES
        assert message_since(history, version(5)).is_full
        assert not message_since(history, version(990)).is_full


class TestReceived:
    """Messages that are lost, late, of another era, or wrong."""

    def test_missing_changes_are_noticed(self) -> None:
        """A removed target would be used on."""
        history = store_relay.TopicHistory(TOPIC)
        history.record(changes(10, "a", "b"), True)
        peer = Peer()
        assert peer.receive(message_since(history, version(0)))
        history.record(changes(12, gone=("a",)), False)
        history.record(changes(15, "c"), False)
        assert not peer.receive(message_since(history, version(12)))
        assert peer.keys == {"a", "b"}
        assert peer.receive(message_since(history, peer.follower.version))
        assert peer.keys == {"b", "c"}

    def test_late_message_changes_nothing(self) -> None:
        """A removed target would come back."""
        history = store_relay.TopicHistory(TOPIC)
        history.record(changes(10, "a"), True)
        late = message_since(history, version(0))
        history.record(changes(12, gone=("a",)), False)
        peer = Peer()
        assert peer.receive(message_since(history, version(0)))
        assert peer.receive(late)
        assert peer.keys == set()
        assert peer.follower.version == version(12)

    def test_message_of_an_earlier_era_changes_nothing(self) -> None:
        """Its numbers stand for other rows."""
        history = store_relay.TopicHistory(TOPIC)
        history.record(changes(90, "a"), True)
        late = message_since(history, version(0))
        history.record(changes(20, "b", era=2), True)
        peer = Peer()
        assert peer.receive(message_since(history, version(0)))
        assert peer.receive(late)
        assert peer.keys == {"b"}
        assert peer.follower.version == version(20, era=2)

    @pytest.mark.parametrize(
        "fields",
        [
            None,
            [],
            ["unknown", [1, 1], [1, 2], [], 0, 0, 0],
            ["targets", [1], [1, 2], [], 0, 0, 0],
            ["targets", [1, 1], [1, "x"], [], 0, 0, 0],
            ["targets", [1, 1], [1, 2], [["a", "!", 2]], 0, 0, 0],
            ["targets", [1, 1], [1, 2], [[7, None, 2]], 0, 0, 0],
            ["targets", [1, 1], [1, 2], [["a", None, 3]], 0, 0, 0],
            ["targets", [1, 1], [1, 2], 5, 0, 0, 0],
            ["targets", [1, 1], [1, 2], [], 0, None, 0],
        ],
    )
    def test_malformed_message_is_named(self, fields: object) -> None:
        """It would end the receiver's task, or be applied in part."""
        text = base64.b64encode(zlib.compress(orjson.dumps(fields))).decode()
        with pytest.raises(interfaces.MalformedMessage, match="relayed"):
            store_relay.decode(text)

    @pytest.mark.parametrize("length", [0, 3, 20, 40])
    def test_cut_message_is_named(self, length: int) -> None:
        """A part of the changes would be taken for all."""
        history = store_relay.TopicHistory(TOPIC)
        history.record(changes(10, "a"), True)
        text = message_since(history, version(0)).encode()
        with pytest.raises(interfaces.MalformedMessage, match="relayed"):
            store_relay.decode(text[:length])
