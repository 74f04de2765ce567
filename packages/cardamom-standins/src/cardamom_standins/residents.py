"""The memory of an engine stand-in, and the orders that change it."""

import dataclasses
import typing

OrderAnswer = tuple[str, str]  # state and message


@dataclasses.dataclass
class Resident:
    """A model or an adapter in memory; ``state`` is loading or ready."""

    model: str
    version: str
    adapter: str
    memory_mb: int
    state: str = "loading"


class Memory:
    """Resident models and adapters, and the highest fencing number seen."""

    def __init__(self, total_mb: int, checks_fencing: bool) -> None:
        self.total_mb = total_mb
        self.fencing_number = 0
        self.overcommits = 0
        self._checks_fencing = checks_fencing
        self._resident_by_name: dict[tuple[str, str], Resident] = {}

    def clear(self) -> None:
        """Remove all residents."""
        self._resident_by_name.clear()

    def used_mb(self) -> int:
        """Return the memory in use, including that of loads in progress."""
        return sum(
            resident.memory_mb for resident in self._resident_by_name.values()
        )

    def is_ready(self, model: str, adapter: str) -> bool:
        """Return whether a model, and its adapter if given, is loaded."""
        required = [(model, "")] + ([(model, adapter)] if adapter else [])
        return all(
            name in self._resident_by_name
            and self._resident_by_name[name].state == "ready"
            for name in required
        )

    def describe(self) -> list[dict[str, typing.Any]]:
        """Return the residents as JSON types."""
        return [
            dataclasses.asdict(resident)
            for resident in self._resident_by_name.values()
        ]

    def mark_ready(self, resident: Resident) -> None:
        """Mark a resident ready unless it was unloaded in the meantime."""
        if (
            self._resident_by_name.get((resident.model, resident.adapter))
            is resident
        ):
            resident.state = "ready"

    def execute(
        self,
        order: dict[str, typing.Any],
    ) -> tuple[OrderAnswer, Resident | None]:
        """Apply an order; returns the answer and what to load, if anything."""
        if self._checks_fencing and order["fence"] < self.fencing_number:
            return ("fenced", f"fencing number is {self.fencing_number}"), None
        self.fencing_number = max(self.fencing_number, order["fence"])
        if order["kind"] in ("unload", "unload_adapter"):
            return self._unload(order), None
        return self._load(order)

    def _load(
        self,
        order: dict[str, typing.Any],
    ) -> tuple[OrderAnswer, Resident | None]:
        name = (order["model"], order["adapter"])
        resident = self._resident_by_name.get(name)
        if resident is not None:
            if resident.version == order["version"]:
                return ("accepted", "already resident"), None
            return ("refused", "another version is resident"), None
        if (
            order["adapter"]
            and (order["model"], "") not in self._resident_by_name
        ):
            return ("refused", "its model is not resident"), None
        if self.used_mb() + order["memory_mb"] > self.total_mb:
            self.overcommits += 1
            return ("refused", "memory would be overcommitted"), None
        resident = Resident(
            order["model"],
            order["version"],
            order["adapter"],
            order["memory_mb"],
        )
        self._resident_by_name[name] = resident
        return ("accepted", ""), resident

    def _unload(self, order: dict[str, typing.Any]) -> OrderAnswer:
        model, adapter = order["model"], order["adapter"]
        if not adapter:
            for name in [n for n in self._resident_by_name if n[0] == model]:
                del self._resident_by_name[name]
        else:
            self._resident_by_name.pop((model, adapter), None)
        return "accepted", ""
