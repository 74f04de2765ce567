"""Warnings: entries that never match, and limits that contradict each other.

A configuration with warnings is accepted and served as it stands.
"""

import bisect
import collections
import dataclasses
import typing

from cardamom_config import findings
from cardamom_config import route_index
from cardamom_config import schema

# An idempotent plain call is given a third of the route's time-out per
# attempt (cardamom_daemon.plain_calls), and no service answers within 1 ms.
MIN_ROUTE_TIMEOUT_MS = 3

_shown = findings.show_number


@dataclasses.dataclass(frozen=True)
class Key:
    """A caller's key as the fleet lists it; the key itself is not known."""

    id: str
    team: str
    withdrawn: bool = False


def find_warnings(
    configuration: schema.Configuration,
    keys: typing.Sequence[Key] | None = None,
) -> typing.Iterator[findings.Issue]:
    """Yield an issue for each entry that a configuration has in vain.

    ``keys`` are those of the fleet; None if they are not known, so that
    nothing is said of them.
    """
    yield from _check_routes(configuration)
    yield from _check_groups(configuration)
    yield from _check_bursts(configuration)
    yield from _check_rates(configuration)
    yield from _check_min_ready(configuration)
    yield from _check_limits(configuration)
    if keys is not None:
        yield from _check_keys(configuration, keys)


def _check_routes(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    index = route_index.RouteIndex(configuration.routes)
    for name, route in configuration.routes.items():
        if not route.methods:
            yield findings.Issue(
                findings.Code.ROUTE_WITHOUT_METHODS,
                ("routes", name, "methods"),
                "is empty, so no call matches; add a method or remove the "
                "route",
            )
        if route.timeout_ms < MIN_ROUTE_TIMEOUT_MS:
            yield findings.Issue(
                findings.Code.ROUTE_TIMEOUT_TOO_SHORT,
                ("routes", name, "timeout_ms"),
                "leaves less than 1 ms for each of three attempts; use at "
                f"least {MIN_ROUTE_TIMEOUT_MS}, and the time that the "
                "service needs",
            )
        yield from _check_shadow(configuration, index, name)


def _check_shadow(
    configuration: schema.Configuration,
    index: route_index.RouteIndex,
    name: str,
) -> typing.Iterator[findings.Issue]:
    """Yield an issue if other routes take calls at a route's own path.

    A route that wins there has a prefix of the path, so it also wins at all
    paths below.  Equal paths are an error of their own.
    """
    route = configuration.routes[name]
    base = route_index.base_of(route.path)
    winner_by_method = {
        method: index.find(method, base) or name for method in route.methods
    }
    taken = {
        method: winner
        for method, winner in winner_by_method.items()
        if winner != name and configuration.routes[winner].path != route.path
    }
    if not taken:
        return
    winners = ", ".join(repr(winner) for winner in sorted({*taken.values()}))
    if len(taken) == len(winner_by_method):
        yield findings.Issue(
            findings.Code.ROUTE_SHADOWED,
            ("routes", name, "path"),
            f"never matches, since route {winners} takes its calls; change "
            "either path or remove this route",
        )
    else:
        yield findings.Issue(
            findings.Code.ROUTE_PARTLY_SHADOWED,
            ("routes", name, "methods"),
            f"never matches {', '.join(sorted(taken))}, since route "
            f"{winners} takes these calls; remove these methods here or there",
        )


def _check_groups(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    routed = {route.group for route in configuration.routes.values()}
    for name, target in configuration.targets.items():
        is_service = target.kind is schema.TargetKind.SERVICE
        if is_service and target.group not in routed:
            yield findings.Issue(
                findings.Code.TARGET_WITHOUT_ROUTE,
                ("targets", name, "group"),
                f"no route leads to group {target.group!r}, so the target "
                "gets no calls; add a route or remove the target",
            )


def _check_bursts(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    limits = configuration.limits
    costs = [
        (route.cost_tokens, name)
        for name, route in configuration.routes.items()
        if route.access is schema.Access.KEYED
    ]
    highest_cost, dearest = max(costs, default=(0.0, ""))
    ordered_costs = sorted(cost for cost, _ in costs)
    for name, team in configuration.teams.items():
        path = ("teams", name, "burst_tokens")
        if configuration.models and (
            limits.default_max_tokens <= team.burst_tokens < limits.max_tokens
        ):
            yield findings.Issue(
                findings.Code.BURST_BELOW_MAX_TOKENS,
                path,
                f"is below limits.max_tokens ({limits.max_tokens}), so a "
                "call that asks for so many is never admitted; raise it or "
                "lower that limit",
            )
        if team.burst_tokens < highest_cost:
            count = len(costs) - bisect.bisect_right(
                ordered_costs, team.burst_tokens
            )
            yield findings.Issue(
                findings.Code.BURST_BELOW_ROUTE_COST,
                path,
                f"is below cost_tokens of {count} routes, of which "
                f"{dearest!r} costs most, so the team's calls there are never "
                f"admitted; raise it to {_shown(highest_cost)} or lower the "
                "costs",
            )


def _check_rates(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    engines = configuration.engines().values()
    teams = configuration.teams.values()
    offered = sum(engine.tokens_per_s for engine in engines)
    allowed = sum(team.rate_tokens_per_s for team in teams)
    if configuration.models and engines and allowed > offered:
        yield findings.Issue(
            findings.Code.TEAM_RATES_ABOVE_ENGINES,
            ("teams",),
            f"allow {_shown(allowed)} tokens/s together, but the engines "
            f"carry {_shown(offered)} answer tokens/s; lower "
            "rate_tokens_per_s or add engines, unless teams do not call at "
            "the same time",
        )


def _check_min_ready(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    engines = configuration.engines().values()
    pinned = {
        name: model
        for name, model in configuration.models.items()
        if model.min_ready
    }
    sizes_mb = sorted(engine.memory_mb for engine in engines)
    for name, model in pinned.items():
        needed_mb = model.memory_mb + model.kv_mb
        fitting = len(sizes_mb) - bisect.bisect_left(sizes_mb, needed_mb)
        if 0 < fitting < model.min_ready <= len(engines):
            yield findings.Issue(
                findings.Code.MIN_READY_ABOVE_FITTING_ENGINES,
                ("models", name, "min_ready"),
                f"needs {model.min_ready} replicas, but only {fitting} "
                f"engines have the {needed_mb} MB for one; use at most "
                f"{fitting} or add such engines",
            )
    pinned_mb = sum(
        model.min_ready * (model.memory_mb + model.kv_mb)
        for model in pinned.values()
    )
    memory_mb = sum(sizes_mb)
    if pinned_mb > memory_mb:
        yield findings.Issue(
            findings.Code.MIN_READY_ABOVE_MEMORY,
            ("models",),
            f"need {pinned_mb} MB for the replicas of min_ready, but all "
            f"engines together have {memory_mb} MB; lower min_ready or add "
            "engines",
        )


def _check_limits(
    configuration: schema.Configuration,
) -> typing.Iterator[findings.Issue]:
    limits, objectives = configuration.limits, configuration.objectives
    routes = configuration.routes.values()
    is_retried = bool(configuration.models) or any(
        route.idempotent for route in routes
    )
    if is_retried and limits.retry_budget_percent == 0:
        yield findings.Issue(
            findings.Code.RETRIES_WITHOUT_BUDGET,
            ("limits", "retry_budget_percent"),
            "is 0, so a call whose target fails is not retried once the "
            "reserve of an instance is used; use at least 1",
        )
    if limits.default_max_tokens > limits.max_tokens:
        yield findings.Issue(
            findings.Code.DEFAULT_ABOVE_MAX_TOKENS,
            ("limits", "default_max_tokens"),
            f"is above max_tokens ({limits.max_tokens}), so a call without "
            "max_tokens gets more than a call may ask for; lower it",
        )
    if limits.queue_timeout_ms > limits.request_timeout_ms:
        yield findings.Issue(
            findings.Code.QUEUE_TIMEOUT_ABOVE_DEADLINE,
            ("limits", "queue_timeout_ms"),
            f"is above request_timeout_ms ({limits.request_timeout_ms}), so "
            "calls wait in the queue beyond their deadline; lower it",
        )
    if not configuration.models:
        return
    answer_ms = objectives.first_token_ms + objectives.between_tokens_ms * (
        limits.default_max_tokens - 1
    )
    path = ("limits", "request_timeout_ms")
    if limits.request_timeout_ms < objectives.first_token_ms:
        yield findings.Issue(
            findings.Code.DEADLINE_BELOW_FIRST_TOKEN,
            path,
            "is below objectives.first_token_ms "
            f"({objectives.first_token_ms}), so calls end before a first "
            "token that is in time; raise it",
        )
    elif limits.request_timeout_ms < answer_ms:
        yield findings.Issue(
            findings.Code.DEADLINE_BELOW_ANSWER,
            path,
            f"is below the {answer_ms} ms of an answer of default_max_tokens "
            f"({limits.default_max_tokens}) at the pace of the objectives; "
            "raise it or lower default_max_tokens",
        )


def _check_keys(
    configuration: schema.Configuration,
    keys: typing.Sequence[Key],
) -> typing.Iterator[findings.Issue]:
    valid = [key for key in keys if not key.withdrawn]
    teams_by_key: dict[str, set[str]] = collections.defaultdict(set)
    for key in valid:
        teams_by_key[key.id].add(key.team)
    count_by_team = collections.Counter(key.team for key in valid)
    for name in configuration.teams:
        if name not in count_by_team:
            yield findings.Issue(
                findings.Code.TEAM_WITHOUT_KEY,
                ("teams", name),
                "has no valid key, so nobody can call for it; create one "
                f"with cardamomctl key create {name}, or remove the team",
            )
    for key_id, teams in sorted(teams_by_key.items()):
        if len(teams) > 1:
            yield findings.Issue(
                findings.Code.KEY_OF_TWO_TEAMS,
                ("teams", min(teams)),
                f"key id {key_id} is of the teams "
                f"{', '.join(sorted(teams))}, but counts for one only; "
                "withdraw it and create one for each",
            )
    for team in sorted(count_by_team.keys() - configuration.teams.keys()):
        yield findings.Issue(
            findings.Code.KEY_WITHOUT_TEAM,
            ("teams", team),
            f"is not configured, but has {count_by_team[team]} valid keys, "
            "whose calls are refused; add the team or withdraw the keys",
        )
