"""The configuration in force at this instance, indexed for look-ups."""

import dataclasses

from cardamom_config import schema


@dataclasses.dataclass(frozen=True)
class ModelName:
    """A model, or one of its adapters, as a caller names it."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}:{self.adapter}" if self.adapter else self.model


class Catalog:
    """The current configuration, with look-ups by model name and path."""

    def __init__(self) -> None:
        self.configuration = schema.Configuration()
        self._routes: list[tuple[str, schema.Route]] = []

    def replace(self, configuration: schema.Configuration) -> None:
        """Replace the current configuration."""
        self.configuration = configuration
        self._routes = sorted(
            configuration.routes.items(),
            key=lambda pair: (-len(pair[1].path), pair[0]),
        )

    def find_model(self, name: str) -> ModelName | None:
        """Return the name for ``model`` or ``model:adapter``.

        Returns None if the configuration does not contain it.
        """
        model, _, adapter = name.partition(":")
        if model not in self.configuration.models:
            return None
        if not adapter:
            return ModelName(model)
        spec = self.configuration.adapters.get(adapter)
        if spec is None or spec.model != model:
            return None
        return ModelName(model, adapter)

    def model_names(self) -> list[str]:
        """Return all models and adapters, as callers name them, sorted."""
        names = [ModelName(model) for model in self.configuration.models]
        names += [
            ModelName(spec.model, adapter)
            for adapter, spec in self.configuration.adapters.items()
        ]
        return sorted(str(name) for name in names)

    def find_route(
        self,
        method: str,
        path: str,
    ) -> tuple[str, schema.Route] | None:
        """Return the matching route with the longest path, with its name.

        Returns None if no route matches.
        """
        return next(
            (
                (name, route)
                for name, route in self._routes
                if method in route.methods and _is_under(path, route.path)
            ),
            None,
        )

    def methods_of(self, path: str) -> list[str]:
        """Return the methods that the routes of a path accept, sorted."""
        return sorted(
            {
                method
                for _, route in self._routes
                if _is_under(path, route.path)
                for method in route.methods
            }
        )


def _is_under(path: str, prefix: str) -> bool:
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")
