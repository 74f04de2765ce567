"""A registry of plug-in factories by kind and name."""

import typing

Factory = typing.TypeVar("Factory", bound=typing.Callable[..., object])


class UnknownPlugin(KeyError):
    """Raised for a name under which no plug-in is registered."""


class Registry:
    """Factories by kind and name."""

    def __init__(self) -> None:
        self._by_kind: dict[str, dict[str, typing.Callable[..., object]]] = {}

    def register(
        self,
        kind: str,
        name: str,
    ) -> typing.Callable[[Factory], Factory]:
        """Return a decorator that registers a factory and returns it.

        The decorator raises ValueError if the kind already has the name.
        """

        def decorate(factory: Factory) -> Factory:
            by_name = self._by_kind.setdefault(kind, {})
            if name in by_name:
                raise ValueError(
                    f"{kind} plug-in {name!r} is registered twice"
                )
            by_name[name] = factory
            return factory

        return decorate

    def names(self, kind: str) -> list[str]:
        """Return the registered names of a kind, sorted."""
        return sorted(self._by_kind.get(kind, {}))

    def create(self, kind: str, name: str, *args: object) -> typing.Any:
        """Call the factory registered under a kind and name with ``args``.

        Returns what the factory returns.  Raises UnknownPlugin if no factory
        is registered.
        """
        factory = self._by_kind.get(kind, {}).get(name)
        if factory is None:
            names = ", ".join(self.names(kind)) or "none"
            raise UnknownPlugin(
                f"no {kind} plug-in named {name!r}; choose one of: {names}",
            )
        return factory(*args)


PLUGINS = Registry()
