"""Versioned documents that are replaced as a whole by newer versions."""

import dataclasses
import typing

from cardamom_kernel import invariants


@dataclasses.dataclass(frozen=True)
class Document:
    """A whole document; ``version`` increases with each accepted change."""

    name: str
    version: int
    body: typing.Mapping[str, typing.Any]


class DocumentStore:
    """The newest version of each document that this instance received.

    Adopting a document never lowers its version, whatever the order in which
    copies arrive from the table, from peers or after a restart of either.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Document] = {}
        self._listeners: list[typing.Callable[[Document], None]] = []

    def listen(self, listener: typing.Callable[[Document], None]) -> None:
        """Call ``listener`` with each document after it was adopted."""
        self._listeners.append(listener)

    def get(self, name: str) -> Document | None:
        """Return the newest document of a name, or None."""
        return self._by_name.get(name)

    def version(self, name: str) -> int:
        """Return the newest version of a name, or 0 if there is none."""
        document = self._by_name.get(name)
        return document.version if document else 0

    def versions(self) -> dict[str, int]:
        """Return the newest versions, by document name."""
        return {
            name: document.version for name, document in self._by_name.items()
        }

    def adopt(self, document: Document) -> bool:
        """Store a document if it is newer, and return whether it was.

        Two different bodies under one version violate an invariant; the
        first body is kept.
        """
        current = self._by_name.get(document.name)
        if current is not None and document.version < current.version:
            return False
        if current is not None and document.version == current.version:
            invariants.check(
                current.body == document.body,
                "document.one_body_per_version",
                document=document.name,
                version=document.version,
            )
            return False
        self._by_name[document.name] = document
        for listener in self._listeners:
            listener(document)
        return True
