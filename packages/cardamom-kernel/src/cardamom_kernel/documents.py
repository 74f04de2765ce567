"""Versioned documents that are adopted whole and only upwards."""

import dataclasses
import typing

from cardamom_kernel import invariants


@dataclasses.dataclass(frozen=True)
class Document:
    """A whole document: ``version`` grows with each accepted change."""

    name: str
    version: int
    body: typing.Mapping[str, typing.Any]


class DocumentStore:
    """The newest documents that this instance has seen, by name.

    An adoption never lowers a version, whatever the order in which copies
    arrive from the table, from peers or after a restart of either.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Document] = {}
        self._listeners: list[typing.Callable[[Document], None]] = []

    def listen(self, listener: typing.Callable[[Document], None]) -> None:
        """Call ``listener`` after each adoption."""
        self._listeners.append(listener)

    def get(self, name: str) -> Document | None:
        """Return the document held under a name, if any."""
        return self._by_name.get(name)

    def version(self, name: str) -> int:
        """Return the version held, or 0 for none."""
        document = self._by_name.get(name)
        return document.version if document else 0

    def versions(self) -> dict[str, int]:
        """Return the versions held, by document name."""
        return {
            name: document.version for name, document in self._by_name.items()
        }

    def adopt(self, document: Document) -> bool:
        """Hold a document if it is newer, and tell whether it was.

        Two bodies under one version are a violated invariant; the first one
        stays.
        """
        held = self._by_name.get(document.name)
        if held is not None and document.version < held.version:
            return False
        if held is not None and document.version == held.version:
            invariants.check(
                held.body == document.body,
                "document.one_body_per_version",
                document=document.name,
                version=document.version,
            )
            return False
        self._by_name[document.name] = document
        for listener in self._listeners:
            listener(document)
        return True
