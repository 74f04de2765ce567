"""State updates of a data centre in one message, for a large fleet.

In a large fleet (``peers.MAX_SAMPLED_MEMBERS``) a random sample of peers is
heard too seldom for counts that all instances share.  There each instance
sends its updates to the instance that reads the store for its data centre.
That one sends what it has received to the readers of the other data centres,
and all of it to the local instances, so that the number of messages of an
instance does not grow with the fleet.
"""

import base64
import dataclasses
import random
import typing
import zlib

import orjson
import structlog

from cardamom_kernel import clocks

from cardamom_gateway.fleet import peers
from cardamom_gateway import settings as settings_module

LOG = structlog.get_logger("cardamom.gateway.digests")

# Counts reach all instances within two of them, which a flood of a team needs.
PERIOD_MS = 200
# An update without changes is repeated, since a message may have been lost.
REPEAT_MS = 600
MAX_AGE_MS = 1_500  # older updates are not passed on
MAX_ENTRIES = 300  # in one message of about 30 KB
MAX_DECODED_BYTES = 1 << 22
# Fields that count only in the latest message of an instance.
STATE_FIELDS = tuple("n u z up cv ee ev tv te store rd st ct o t sp".split())
# Fields that an instance leaves out while they are unchanged.
COUNT_FIELDS = ("q", "r", "p", "l")
# Fields that have the same value at most instances, and are sent once for all.
COMMON_FIELDS = ("z", "cv", "ee", "ev", "tv", "te", "store")


@dataclasses.dataclass
class Entry:
    """The latest state of one instance, put together from its messages.

    ``has_changed`` is whether a count has changed since it was passed on.
    """

    update: peers.StateUpdate
    at_ms: int
    passed_on_ms: int = clocks.NEVER_MS
    has_changed: bool = True

    def is_due(self, now_ms: int) -> bool:
        """Return whether it is to be passed on now."""
        if now_ms - self.at_ms > MAX_AGE_MS or self.at_ms < self.passed_on_ms:
            return False
        return self.has_changed or now_ms - self.passed_on_ms >= REPEAT_MS


Encoded = list[typing.Any]


class Digests:
    """Collects state updates and passes them on while this is a reader.

    ``gather_update`` returns this instance's own update, and ``base_update``
    the fields that every message carries.
    """

    def __init__(
        self,
        settings: settings_module.GatewaySettings,
        clock: clocks.Clock,
        link: peers.PeerLink,
        gather_update: typing.Callable[[peers.Audience], peers.StateUpdate],
        is_reader: typing.Callable[[], bool],
        base_update: typing.Callable[[], peers.StateUpdate],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._link = link
        self._gather_update = gather_update
        self._is_reader = is_reader
        self._base_update = base_update
        self._local_by_id: dict[str, Entry] = {}
        self._remote_by_id: dict[str, Entry] = {}

    def note(self, update: peers.StateUpdate) -> None:
        """Record the update that a local instance sent to this reader."""
        if (
            update["z"] == self._settings.data_centre
            and self._is_reader()
            and self._link.is_large
        ):
            self._merge(self._local_by_id, update, self._clock.now_ms())

    def _merge(
        self,
        entry_by_id: dict[str, Entry],
        update: peers.StateUpdate,
        at_ms: int,
    ) -> None:
        name = str(update["n"])
        state = {key: update[key] for key in STATE_FIELDS if key in update}
        counts = {key: update[key] for key in COUNT_FIELDS if key in update}
        entry = entry_by_id.get(name)
        if entry is None or entry.update["u"] != update["u"]:
            entry_by_id[name] = Entry(state | counts, at_ms)
            return
        known = {
            key: entry.update[key]
            for key in COUNT_FIELDS
            if key in entry.update
        }
        merged = known | counts
        entry.has_changed = entry.has_changed or (
            _totals(merged) != _totals(known)
        )
        entry.update = state | merged
        entry.at_ms = at_ms

    async def run(self) -> None:
        """Pass updates on periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(PERIOD_MS)
            if self._is_reader() and self._link.is_large:
                self.send()

    def send(self) -> None:
        """Pass on what has changed since the last time."""
        now_ms = self._clock.now_ms()
        own = self._gather_update(peers.Audience.LOCAL)
        self._merge(self._local_by_id, self._link.identified(own), now_ms)
        local = self._due_entries(self._local_by_id, now_ms)
        remote = self._due_entries(self._remote_by_id, now_ms)
        self._transmit(self._remote_readers(), local)
        self._transmit(self._link.local_members(), local + remote)

    def _due_entries(
        self, entry_by_id: dict[str, Entry], now_ms: int
    ) -> list[Encoded]:
        due = [e for e in entry_by_id.values() if e.is_due(now_ms)]
        for entry in due:
            entry.passed_on_ms, entry.has_changed = now_ms, False
        return [[now_ms - entry.at_ms, entry.update] for entry in due]

    def _remote_readers(self) -> list[peers.Member]:
        """Return a reader of each other data centre, or else any instance.

        The latter passes the message on to its reader.
        """
        reader_by_data_centre = {
            peer.member.data_centre: peer.member
            for peer in self._link.fresh_peers()
            if "rd" in peer.update
        }
        members = list(self._link.member_by_id.values())
        random.shuffle(members)
        by_data_centre = {
            member.data_centre: member for member in members
        } | reader_by_data_centre
        by_data_centre.pop(self._settings.data_centre, None)
        return list(by_data_centre.values())

    def _transmit(
        self, members: list[peers.Member], entries: list[Encoded]
    ) -> None:
        for batch in peers.batched(entries, MAX_ENTRIES):
            packed = zlib.compress(orjson.dumps(_without_common(batch)))
            self._link.send(
                members,
                self._base_update() | {"y": base64.b64encode(packed).decode()},
            )

    def receive(self, update: peers.StateUpdate) -> None:
        """Apply the updates that a reader passes on, in one message.

        Raises ValueError, KeyError, TypeError or IndexError if malformed.
        """
        text = update.get("y")
        if text is None:
            return
        is_remote = update["z"] != self._settings.data_centre
        if is_remote and not self._is_reader():
            self._link.send(
                self._link.local_readers(), self._base_update() | {"y": text}
            )
        now_ms = self._clock.now_ms()
        for age_ms, passed_on in _decode(text):
            if passed_on["n"] == self._settings.instance:
                continue
            if (
                self._is_reader()
                and passed_on["z"] != self._settings.data_centre
            ):
                self._merge(self._remote_by_id, passed_on, now_ms - age_ms)
            self._link.accept_passed_on(passed_on, age_ms)


def _totals(counts: peers.StateUpdate) -> list[dict[str, typing.Any]]:
    """Return the first figure of each count: its total, or what runs.

    The others change with time alone.
    """
    return [
        {name: values[0] for name, values in counts.get(key, {}).items()}
        for key in COUNT_FIELDS
    ]


def _without_common(entries: list[Encoded]) -> list[typing.Any]:
    """Return the most frequent values of common fields, and shorter entries.

    An entry keeps the fields in which it differs.
    """
    common: peers.StateUpdate = {}
    for key in COMMON_FIELDS:
        values = [update[key] for _, update in entries if key in update]
        if len(values) == len(entries):
            common[key] = max(set(values), key=values.count)
    shorter = [
        [
            age_ms,
            {
                key: value
                for key, value in update.items()
                if key not in common or common[key] != value
            },
        ]
        for age_ms, update in entries
    ]
    return [common, shorter]


def _decode(text: str) -> list[tuple[int, peers.StateUpdate]]:
    try:
        unpacker = zlib.decompressobj()
        packed = base64.b64decode(text, validate=True)
        common, entries = orjson.loads(
            unpacker.decompress(packed, MAX_DECODED_BYTES)
        )
    except zlib.error as error:
        raise ValueError(f"digest: {error}") from error
    return [
        (max(1, int(age_ms)), common | dict(update))
        for age_ms, update in entries
    ]
