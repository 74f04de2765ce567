"""Finds the route that a path leads to, by the prefixes of the path.

The rule is that of the caller port: of the routes that take the method and
whose path is a prefix, the one with the longest path wins, then the first
name. A slash at the end counts for the length, but not for the prefix.
"""

import typing

from cardamom_config import schema


class RouteIndex:
    """The routes of a configuration by method and path."""

    def __init__(self, routes: typing.Mapping[str, schema.Route]) -> None:
        self._routes = routes
        self._name_by_base: dict[tuple[str, str], str] = {}
        for name, route in routes.items():
            for method in route.methods:
                key = (method, base_of(route.path))
                best = self._name_by_base.setdefault(key, name)
                self._name_by_base[key] = min(best, name, key=self._rank)

    def find(self, method: str, base: str) -> str | None:
        """Return the name of the route for calls to a path, or None.

        ``base`` is the path without slashes at its end.
        """
        candidates = [
            name
            for prefix in _prefixes(base)
            if (name := self._name_by_base.get((method, prefix))) is not None
        ]
        return min(candidates, key=self._rank, default=None)

    def places(self) -> set[tuple[str, str]]:
        """Return the methods and paths at which the answer may change."""
        return set(self._name_by_base)

    def _rank(self, name: str) -> tuple[int, str]:
        return -len(self._routes[name].path), name


def base_of(path: str) -> str:
    """Return a route's path as it is compared with the paths of calls."""
    return path.rstrip("/")


def _prefixes(base: str) -> typing.Iterator[str]:
    yield base
    end = base.rfind("/")
    while end >= 0:
        yield base[:end]
        end = base.rfind("/", 0, end)
