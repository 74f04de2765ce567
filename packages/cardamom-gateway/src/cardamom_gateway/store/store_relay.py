"""Changes of the store as instances pass them on to each other."""

import base64
import collections
import dataclasses
import typing
import zlib

import orjson

from cardamom_kernel import tables

from cardamom_gateway import interfaces

# Changes of about a minute; an instance that lacks more gets all rows.
MAX_KEPT_MESSAGES = 64
MAX_DECODED_BYTES = 1 << 24  # far more than all rows of a topic


@dataclasses.dataclass(frozen=True)
class Message:
    """Changes of one topic from one version of the store to another.

    They apply to any version from ``after`` to ``version``.  With ``is_full``
    they are all rows of the topic, and apply to every earlier version.
    ``reachable_ms`` is the time since the store became reachable for the
    sender, ``store_clock_ms`` the store's clock when the message was sent.
    """

    topic: interfaces.Topic
    after: tables.StoreVersion
    version: tables.StoreVersion
    rows: tuple[interfaces.Change, ...]
    is_full: bool
    reachable_ms: int
    store_clock_ms: int

    def changes(self) -> interfaces.Changes:
        """Return the changes as an answer of the store."""
        return interfaces.Changes(self.rows, self.version, self.store_clock_ms)

    def encode(self) -> str:
        """Return the message as compressed text."""
        fields = [
            self.topic.value,
            [self.after.era, self.after.number],
            [self.version.era, self.version.number],
            [_encode_row(row) for row in self.rows],
            int(self.is_full),
            self.reachable_ms,
            self.store_clock_ms,
        ]
        return base64.b64encode(zlib.compress(orjson.dumps(fields))).decode()


def decode(text: str) -> Message:
    """Decode a message.

    Raises MalformedMessage for one that is cut or has wrong types.
    """
    try:
        packed = base64.b64decode(text, validate=True)
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(packed, MAX_DECODED_BYTES)
        topic, after, version, rows, is_full, reachable, clock = orjson.loads(
            data
        )
        message = Message(
            interfaces.Topic(topic),
            tables.StoreVersion(int(after[0]), int(after[1])),
            tables.StoreVersion(int(version[0]), int(version[1])),
            tuple(_decode_row(row) for row in rows),
            bool(is_full),
            int(reachable),
            int(clock),
        )
    except (ValueError, TypeError, IndexError, zlib.error) as error:
        raise interfaces.MalformedMessage(f"relayed changes: {error}") from (
            error
        )
    if any(row.number > message.version.number for row in message.rows):
        raise interfaces.MalformedMessage("relayed changes: number of a row")
    return message


def _encode_row(row: interfaces.Change) -> list[typing.Any]:
    value = None if row.value is None else base64.b64encode(row.value).decode()
    return [row.key, value, row.number]


def _decode_row(fields: list[typing.Any]) -> interfaces.Change:
    key, value, number = fields
    if not isinstance(key, str):
        raise TypeError("a key is not text")
    return interfaces.Change(
        key,
        None if value is None else base64.b64decode(value, validate=True),
        int(number),
    )


class TopicHistory:
    """All rows of a topic and its latest changes, to be passed on.

    ``version`` is the store's version of the rows.
    """

    def __init__(self, topic: interfaces.Topic) -> None:
        self._topic = topic
        self._row_by_key: dict[str, interfaces.Change] = {}
        self._kept: collections.deque[
            tuple[tables.StoreVersion, interfaces.Changes]
        ] = collections.deque(maxlen=MAX_KEPT_MESSAGES)
        # The version of the latest rows that changed.
        self._changed = tables.NO_VERSION
        self.version = tables.NO_VERSION

    def record(self, changes: interfaces.Changes, is_full: bool) -> None:
        """Record changes that this instance has applied."""
        if is_full:
            self._row_by_key.clear()
            self._kept.clear()
            self._changed = changes.version
        for row in changes.changes:
            if row.value is None:
                self._row_by_key.pop(row.key, None)
            else:
                self._row_by_key[row.key] = row
        if changes.changes and not is_full:
            self._kept.append((self._changed, changes))
            self._changed = changes.version
        self.version = changes.version

    def since(
        self,
        known: tables.StoreVersion,
        reachable_ms: int,
        store_clock_ms: int,
    ) -> Message:
        """Return what an instance lacks that knows a version."""
        after, rows = self._changed, dict[str, interfaces.Change]()
        for start, changes in reversed(self._kept):
            if after <= known:
                break
            rows = {row.key: row for row in changes.changes} | rows
            after = start
        is_full = known < after
        if is_full:
            rows = self._row_by_key
        return Message(
            self._topic,
            after,
            self.version,
            tuple(sorted(rows.values(), key=lambda row: row.number)),
            is_full,
            reachable_ms,
            store_clock_ms,
        )
