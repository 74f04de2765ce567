"""Checks across the sections of a configuration, which refuse it."""

import typing

from cardamom_config import findings
from cardamom_config import schema

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
RESERVED_PATHS = ("/v1/chat", "/v1/completions", "/v1/models")


def find_errors(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    """Yield an issue for each field that contradicts another section."""
    yield from _check_teams(configuration)
    yield from _check_models(configuration)
    yield from _check_adapters(configuration)
    yield from _check_routes(configuration)
    yield from _check_paths(configuration)
    yield from _check_targets(configuration)


def _check_teams(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    for name, team in configuration.teams.items():
        if team.burst_tokens < configuration.limits.default_max_tokens:
            yield findings.Issue(
                findings.Code.BURST_BELOW_DEFAULT_ANSWER,
                ("teams", name, "burst_tokens"),
                "is below limits.default_max_tokens, so a call without "
                "max_tokens could never be admitted; raise it",
            )


def _check_models(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    engines = configuration.engines()
    largest_engine_mb = max((e.memory_mb for e in engines.values()), default=0)
    for name, model in configuration.models.items():
        required_mb = model.memory_mb + model.kv_mb
        if required_mb > largest_engine_mb:
            yield findings.Issue(
                findings.Code.MODEL_TOO_LARGE,
                ("models", name, "memory_mb"),
                f"needs {required_mb} MB, but the largest engine has "
                f"{largest_engine_mb} MB; add an engine or shrink the model",
            )
        if model.min_ready > len(engines):
            yield findings.Issue(
                findings.Code.MIN_READY_ABOVE_ENGINES,
                ("models", name, "min_ready"),
                f"needs {model.min_ready} replicas on {len(engines)} "
                "engines; add engines or lower it",
            )


def _check_adapters(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    engines = configuration.engines()
    largest_engine_mb = max((e.memory_mb for e in engines.values()), default=0)
    for name, adapter in configuration.adapters.items():
        model = configuration.models.get(adapter.model)
        if model is None:
            yield findings.Issue(
                findings.Code.ADAPTER_WITHOUT_MODEL,
                ("adapters", name, "model"),
                f"unknown model {adapter.model!r}; add it to models",
            )
            continue
        if (
            model.memory_mb + model.kv_mb + adapter.memory_mb
            > largest_engine_mb
        ):
            yield findings.Issue(
                findings.Code.ADAPTER_TOO_LARGE,
                ("adapters", name, "memory_mb"),
                "does not fit beside its model on the largest engine, which "
                f"has {largest_engine_mb} MB; add an engine or shrink it",
            )


def _check_routes(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    groups = {
        target.group
        for target in configuration.targets.values()
        if target.kind is schema.TargetKind.SERVICE
    }
    for name, route in configuration.routes.items():
        for method in route.methods:
            if method not in METHODS:
                yield findings.Issue(
                    findings.Code.ROUTE_METHOD_UNKNOWN,
                    ("routes", name, "methods"),
                    f"{method!r} is not one of {', '.join(METHODS)}",
                )
        if route.group not in groups:
            yield findings.Issue(
                findings.Code.ROUTE_WITHOUT_TARGETS,
                ("routes", name, "group"),
                f"no service target is in group {route.group!r}; add a target",
            )
        if route.path.startswith(RESERVED_PATHS):
            yield findings.Issue(
                findings.Code.ROUTE_PATH_RESERVED,
                ("routes", name, "path"),
                "is reserved for model calls; choose another path",
            )
        if not route.idempotent and route.access is schema.Access.OPEN:
            yield findings.Issue(
                findings.Code.ROUTE_OPEN_NOT_IDEMPOTENT,
                ("routes", name, "access"),
                "must be keyed, since the route is not idempotent",
            )


def _check_paths(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    """Yield each route whose path and method an earlier route has."""
    first_by_place: dict[tuple[str, str], str] = {}
    for name, route in configuration.routes.items():
        firsts = {
            first_by_place.setdefault((route.path, method), name): None
            for method in route.methods
        }
        for first in firsts:
            if first != name:
                yield findings.Issue(
                    findings.Code.ROUTE_DUPLICATE,
                    ("routes", name, "path"),
                    f"is also the path of route {first!r}; change either",
                )


def _check_targets(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    name_by_url: dict[str, str] = {}
    for name, target in configuration.targets.items():
        first_name = name_by_url.setdefault(target.url, name)
        if first_name != name:
            yield findings.Issue(
                findings.Code.TARGET_URL_DUPLICATE,
                ("targets", name, "url"),
                f"is also the URL of {first_name!r}; use a unique URL",
            )
        is_engine = target.kind is schema.TargetKind.ENGINE
        if is_engine and target.memory_mb == 0:
            yield findings.Issue(
                findings.Code.ENGINE_WITHOUT_MEMORY,
                ("targets", name, "memory_mb"),
                "is required for an engine; add it",
            )
