"""What an engine stand-in holds in memory, and the orders that change it."""

import dataclasses
import typing

Answer = tuple[str, str]


@dataclasses.dataclass
class Held:
    """A model, or an adapter of one, in memory."""

    model: str
    version: str
    adapter: str
    memory_mb: int
    state: str = "loading"


class Memory:
    """Residents by model and adapter, with a fencing number."""

    def __init__(self, total_mb: int, checks_fencing: bool) -> None:
        self.total_mb = total_mb
        self.fence = 0
        self.overcommits = 0
        self._checks_fencing = checks_fencing
        self._by_name: dict[tuple[str, str], Held] = {}

    def clear(self) -> None:
        """Forget everything held."""
        self._by_name.clear()

    def used_mb(self) -> int:
        """Return the memory taken, loads in progress included."""
        return sum(held.memory_mb for held in self._by_name.values())

    def is_ready(self, model: str, adapter: str) -> bool:
        """Tell whether a model, with its adapter if named, can answer."""
        names = [(model, "")] + ([(model, adapter)] if adapter else [])
        return all(
            name in self._by_name and self._by_name[name].state == "ready"
            for name in names
        )

    def describe(self) -> list[dict[str, typing.Any]]:
        """Return the residents as JSON types."""
        return [dataclasses.asdict(held) for held in self._by_name.values()]

    def loaded(self, held: Held) -> None:
        """Mark a resident ready if it is still wanted."""
        if self._by_name.get((held.model, held.adapter)) is held:
            held.state = "ready"

    def execute(
        self,
        order: dict[str, typing.Any],
    ) -> tuple[Answer, Held | None]:
        """Apply an order; returns the answer and what must now be loaded."""
        if self._checks_fencing and order["fence"] < self.fence:
            return ("fenced", f"fence is {self.fence}"), None
        self.fence = max(self.fence, order["fence"])
        if order["kind"] in ("unload", "unload_adapter"):
            return self._unload(order), None
        return self._load(order)

    def _load(
        self,
        order: dict[str, typing.Any],
    ) -> tuple[Answer, Held | None]:
        name = (order["model"], order["adapter"])
        held = self._by_name.get(name)
        if held is not None:
            if held.version == order["version"]:
                return ("accepted", "already held"), None
            return ("refused", "another version is held"), None
        if order["adapter"] and (order["model"], "") not in self._by_name:
            return ("refused", "its model is not held"), None
        if self.used_mb() + order["memory_mb"] > self.total_mb:
            self.overcommits += 1
            return ("refused", "memory would be overcommitted"), None
        held = Held(
            order["model"],
            order["version"],
            order["adapter"],
            order["memory_mb"],
        )
        self._by_name[name] = held
        return ("accepted", ""), held

    def _unload(self, order: dict[str, typing.Any]) -> Answer:
        model, adapter = order["model"], order["adapter"]
        if not adapter:
            for name in [n for n in self._by_name if n[0] == model]:
                del self._by_name[name]
        else:
            self._by_name.pop((model, adapter), None)
        return "accepted", ""
