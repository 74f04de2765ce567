"""Checks across the sections of a configuration."""

import itertools
import typing

from cardamom_config import schema

Finding = tuple[tuple[str, ...], str]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
RESERVED_PATHS = ("/v1/chat", "/v1/completions", "/v1/models")


def find_problems(
    configuration: schema.Configuration,
) -> typing.Iterator[Finding]:
    """Yield the path of each invalid field and a message for operators.

    The message says how to correct the field.
    """
    yield from _check_teams(configuration)
    yield from _check_models(configuration)
    yield from _check_adapters(configuration)
    yield from _check_routes(configuration)
    yield from _check_targets(configuration)


def _check_teams(
    configuration: schema.Configuration,
) -> typing.Iterator[Finding]:
    for name, team in configuration.teams.items():
        if team.burst_tokens < configuration.limits.default_max_tokens:
            yield (
                ("teams", name, "burst_tokens"),
                "is below limits.default_max_tokens, so a call without "
                "max_tokens could never be admitted; raise it",
            )


def _check_models(
    configuration: schema.Configuration,
) -> typing.Iterator[Finding]:
    engines = configuration.engines()
    largest_engine_mb = max((e.memory_mb for e in engines.values()), default=0)
    for name, model in configuration.models.items():
        required_mb = model.memory_mb + model.kv_mb
        if required_mb > largest_engine_mb:
            yield (
                ("models", name, "memory_mb"),
                f"needs {required_mb} MB, but the largest engine has "
                f"{largest_engine_mb} MB; add an engine or shrink the model",
            )
        if model.min_ready > len(engines):
            yield (
                ("models", name, "min_ready"),
                f"needs {model.min_ready} replicas on {len(engines)} engines",
            )


def _check_adapters(
    configuration: schema.Configuration,
) -> typing.Iterator[Finding]:
    engines = configuration.engines()
    largest_engine_mb = max((e.memory_mb for e in engines.values()), default=0)
    for name, adapter in configuration.adapters.items():
        model = configuration.models.get(adapter.model)
        if model is None:
            yield (
                ("adapters", name, "model"),
                f"unknown model {adapter.model!r}; add it to models",
            )
            continue
        if (
            model.memory_mb + model.kv_mb + adapter.memory_mb
            > largest_engine_mb
        ):
            yield (
                ("adapters", name, "memory_mb"),
                "does not fit beside its model on the largest engine",
            )


def _check_routes(
    configuration: schema.Configuration,
) -> typing.Iterator[Finding]:
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
                f"no service target is in group {route.group!r}; add a target",
            )
        if route.path.startswith(RESERVED_PATHS):
            yield (
                ("routes", name, "path"),
                "is reserved for model calls; choose another path",
            )
        if not route.idempotent and route.access is schema.Access.OPEN:
            yield (
                ("routes", name, "access"),
                "must be keyed, since the route is not idempotent",
            )
    pairs = itertools.combinations(configuration.routes.items(), 2)
    for (first_name, first), (second_name, second) in pairs:
        shared_methods = set(first.methods) & set(second.methods)
        if first.path == second.path and shared_methods:
            yield (
                ("routes", second_name, "path"),
                f"is also the path of route {first_name!r}; change either",
            )


def _check_targets(
    configuration: schema.Configuration,
) -> typing.Iterator[Finding]:
    name_by_url: dict[str, str] = {}
    for name, target in configuration.targets.items():
        first_name = name_by_url.setdefault(target.url, name)
        if first_name != name:
            yield (
                ("targets", name, "url"),
                f"is also the URL of {first_name!r}; use a unique URL",
            )
        is_engine = target.kind is schema.TargetKind.ENGINE
        if is_engine and target.memory_mb == 0:
            yield (
                ("targets", name, "memory_mb"),
                "is required for an engine; add it",
            )
