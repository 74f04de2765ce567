"""Callers' keys: created, stored as hashes, and looked up."""

import dataclasses
import hashlib
import re
import secrets
import typing

from cardamom_kernel import ids

KEY_PREFIX = "ck-"
KEY_BYTES = 24
KEY_ID_LENGTH = 16
KEY_PATTERN = re.compile(KEY_PREFIX + r"[A-Za-z0-9_-]{32}")


@dataclasses.dataclass(frozen=True)
class KeyRecord:
    """A key as it is stored; the id is the start of the hash."""

    id: ids.KeyId
    team: ids.TeamId
    key_hash: str
    label: str = ""


def make_key(team: ids.TeamId, label: str) -> tuple[str, KeyRecord]:
    """Return a new key, to be shown once, and its record to store."""
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    key_hash = hash_key(key)
    key_id = ids.KeyId(key_hash[:KEY_ID_LENGTH])
    return key, KeyRecord(key_id, team, key_hash, label)


def hash_key(key: str) -> str:
    """Return the hash under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


class Keyring:
    """The records of all keys in the current version of the document."""

    def __init__(self) -> None:
        self._by_hash: dict[str, KeyRecord] = {}

    def replace(self, body: typing.Mapping[str, typing.Any]) -> None:
        """Replace all records by those of a keys document."""
        records = (record_from_json(item) for item in body.get("keys", ()))
        self._by_hash = {record.key_hash: record for record in records}

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key, or None."""
        return self._by_hash.get(hash_key(key))

    def contains_key(self, text: str) -> bool:
        """Return whether a text contains any stored key."""
        return any(self.find(m.group()) for m in KEY_PATTERN.finditer(text))

    def records(self) -> list[KeyRecord]:
        """Return all records, ordered by team and id."""
        return sorted(self._by_hash.values(), key=lambda r: (r.team, r.id))


def record_from_json(item: typing.Mapping[str, typing.Any]) -> KeyRecord:
    """Build a record from its JSON types."""
    return KeyRecord(**item)
