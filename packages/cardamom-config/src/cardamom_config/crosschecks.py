"""Checks between the sections of a configuration."""

import itertools
import typing

from cardamom_config import schema

Finding = tuple[tuple[str, ...], str]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
RESERVED_PATHS = ("/v1/chat", "/v1/completions", "/v1/models")


def find(configuration: schema.Configuration) -> typing.Iterator[Finding]:
    """Yield the path of each faulty field with what to do about it."""
    yield from _teams(configuration)
    yield from _models(configuration)
    yield from _adapters(configuration)
    yield from _routes(configuration)
    yield from _targets(configuration)


def _teams(configuration: schema.Configuration) -> typing.Iterator[Finding]:
    for name, team in configuration.teams.items():
        if team.burst_tokens < configuration.limits.default_max_tokens:
            yield (
                ("teams", name, "burst_tokens"),
                "is below limits.default_max_tokens, so no ordinary call "
                "could be admitted; raise it",
            )


def _models(configuration: schema.Configuration) -> typing.Iterator[Finding]:
    engines = configuration.engines()
    largest_mb = max((e.memory_mb for e in engines.values()), default=0)
    for name, model in configuration.models.items():
        needed_mb = model.memory_mb + model.kv_mb
        if needed_mb > largest_mb:
            yield (
                ("models", name, "memory_mb"),
                f"needs {needed_mb} MB, but the largest engine has "
                f"{largest_mb} MB; add an engine or shrink the model",
            )
        if model.min_ready > len(engines):
            yield (
                ("models", name, "min_ready"),
                f"asks for {model.min_ready} copies on {len(engines)} engines",
            )


def _adapters(
    configuration: schema.Configuration,
) -> typing.Iterator[Finding]:
    engines = configuration.engines()
    largest_mb = max((e.memory_mb for e in engines.values()), default=0)
    for name, adapter in configuration.adapters.items():
        model = configuration.models.get(adapter.model)
        if model is None:
            yield (
                ("adapters", name, "model"),
                f"names no model: {adapter.model!r}; add it to models",
            )
            continue
        if model.memory_mb + model.kv_mb + adapter.memory_mb > largest_mb:
            yield (
                ("adapters", name, "memory_mb"),
                "does not fit beside its model on the largest engine",
            )


def _routes(configuration: schema.Configuration) -> typing.Iterator[Finding]:
    for name, route in configuration.routes.items():
        for method in route.methods:
            if method not in METHODS:
                yield (
                    ("routes", name, "methods"),
                    f"{method!r} is not one of {', '.join(METHODS)}",
                )
        if not configuration.services(route.group):
            yield (
                ("routes", name, "group"),
                f"no service target is in group {route.group!r}; add one",
            )
        if route.path.startswith(RESERVED_PATHS):
            yield (
                ("routes", name, "path"),
                "is taken by the model calls; choose another",
            )
        if not route.idempotent and route.access is schema.Access.OPEN:
            yield (
                ("routes", name, "access"),
                "a route that is not idempotent must be keyed",
            )
    pairs = itertools.combinations(configuration.routes.items(), 2)
    for (first, one), (second, two) in pairs:
        shared = set(one.methods) & set(two.methods)
        if one.path == two.path and shared:
            yield (
                ("routes", second, "path"),
                f"is also the path of route {first!r}; change one",
            )


def _targets(configuration: schema.Configuration) -> typing.Iterator[Finding]:
    name_by_url: dict[str, str] = {}
    for name, target in configuration.targets.items():
        other = name_by_url.setdefault(target.url, name)
        if other != name:
            yield (
                ("targets", name, "url"),
                f"is also the address of {other!r}; give each its own",
            )
        is_engine = target.kind is schema.TargetKind.ENGINE
        if is_engine and target.memory_mb == 0:
            yield (
                ("targets", name, "memory_mb"),
                "an engine needs its memory; add memory_mb",
            )
