"""What a change of the configuration does to callers."""

import collections
import dataclasses
import enum
import typing

from cardamom_config import findings
from cardamom_config import plausibility
from cardamom_config import redaction
from cardamom_config import route_index
from cardamom_config import schema

_shown = findings.show_number


class EffectCode(enum.Enum):
    """The stable codes of effects.

    docs/operators/configuration-checks.md has a paragraph for each.
    """

    ROUTE_STARTS = "route-starts"
    ROUTE_STOPS = "route-stops"
    ROUTE_LEADS_ELSEWHERE = "route-leads-elsewhere"
    ROUTE_NEEDS_KEY = "route-needs-key"
    ROUTE_NEEDS_NO_KEY = "route-needs-no-key"
    ROUTE_NEEDS_IDEMPOTENCY_KEY = "route-needs-idempotency-key"
    ROUTE_COST_RISES = "route-cost-rises"
    ROUTE_TIMEOUT_FALLS = "route-timeout-falls"
    KEYS_STOP = "keys-stop"
    RATE_FALLS = "rate-falls"
    BURST_FALLS = "burst-falls"
    WEIGHT_FALLS = "weight-falls"
    MODEL_STOPS = "model-stops"
    MODEL_VERSION_CHANGES = "model-version-changes"
    ADAPTER_STOPS = "adapter-stops"
    LIMIT_FALLS = "limit-falls"
    CAPACITY_FALLS = "capacity-falls"


@dataclasses.dataclass(frozen=True)
class Effect:
    """One effect on callers; ``field`` is the dotted path of its cause."""

    code: EffectCode
    field: str
    message: str

    def __str__(self) -> str:
        return f"{self.field}: {self.message} [{self.code.value}]"

    def to_json(self) -> dict[str, str]:
        """Return the effect in JSON types."""
        return {
            "code": self.code.value,
            "field": self.field,
            "message": self.message,
        }


def find_effects(
    before: schema.Configuration,
    after: schema.Configuration,
    keys: typing.Sequence[plausibility.Key] | None = None,
) -> typing.Iterator[Effect]:
    """Yield what callers see of a change, section by section.

    ``keys`` are those of the fleet; None if they are not known.
    """
    yield from _compare_routes(before, after)
    yield from _compare_teams(before, after, keys or ())
    yield from _compare_models(before, after)
    yield from _compare_limits(before, after)
    yield from _compare_targets(before, after)


def _effect(code: EffectCode, path: tuple[str, ...], message: str) -> Effect:
    return Effect(
        code,
        redaction.redact_text(".".join(path)),
        redaction.redact_text(message),
    )


def _compare_routes(
    before: schema.Configuration,
    after: schema.Configuration,
) -> typing.Iterator[Effect]:
    """Yield the effects at each path that a route has before or after.

    Between these paths the answer is that of the nearest one above, so
    nothing changes elsewhere.
    """
    old_index = route_index.RouteIndex(before.routes)
    new_index = route_index.RouteIndex(after.routes)
    methods_by_change: dict[tuple[str, str | None, str | None], list[str]] = (
        collections.defaultdict(list)
    )
    for method, base in sorted(old_index.places() | new_index.places()):
        change = (
            base,
            old_index.find(method, base),
            new_index.find(method, base),
        )
        methods_by_change[change].append(method)
    for (base, old_name, new_name), methods in sorted(
        methods_by_change.items(), key=lambda item: (item[0][0], item[1])
    ):
        calls = f"{', '.join(methods)} {base or '/'}"
        if old_name is None:
            assert new_name is not None
            yield _effect(
                EffectCode.ROUTE_STARTS,
                ("routes", new_name),
                f"{calls} is served; it was refused before",
            )
        elif new_name is None:
            yield _effect(
                EffectCode.ROUTE_STOPS,
                ("routes", old_name),
                f"{calls} is refused, since no route matches any more",
            )
        else:
            yield from _compare_route(
                calls,
                new_name,
                before.routes[old_name],
                after.routes[new_name],
            )


def _compare_route(
    calls: str, name: str, old: schema.Route, new: schema.Route
) -> typing.Iterator[Effect]:
    if old.group != new.group:
        yield _effect(
            EffectCode.ROUTE_LEADS_ELSEWHERE,
            ("routes", name, "group"),
            f"{calls} goes to group {new.group!r}; it went to {old.group!r}",
        )
    if old.access is not new.access:
        if new.access is schema.Access.KEYED:
            yield _effect(
                EffectCode.ROUTE_NEEDS_KEY,
                ("routes", name, "access"),
                f"{calls} needs a key; calls without one are refused",
            )
        else:
            yield _effect(
                EffectCode.ROUTE_NEEDS_NO_KEY,
                ("routes", name, "access"),
                f"{calls} is open to callers without a key",
            )
    if old.idempotent and not new.idempotent:
        yield _effect(
            EffectCode.ROUTE_NEEDS_IDEMPOTENCY_KEY,
            ("routes", name, "idempotent"),
            f"{calls} needs Idempotency-Key; calls without it are refused",
        )
    if new.access is schema.Access.KEYED and new.cost_tokens > old.cost_tokens:
        yield _effect(
            EffectCode.ROUTE_COST_RISES,
            ("routes", name, "cost_tokens"),
            f"{calls} costs a team {_shown(new.cost_tokens)} tokens; it cost "
            f"{_shown(old.cost_tokens)}",
        )
    if new.timeout_ms < old.timeout_ms:
        yield _effect(
            EffectCode.ROUTE_TIMEOUT_FALLS,
            ("routes", name, "timeout_ms"),
            f"{calls} ends after {_shown(new.timeout_ms)} ms; it had "
            f"{_shown(old.timeout_ms)} ms",
        )


def _compare_teams(
    before: schema.Configuration,
    after: schema.Configuration,
    keys: typing.Sequence[plausibility.Key],
) -> typing.Iterator[Effect]:
    count_by_team = collections.Counter(
        key.team for key in keys if not key.withdrawn
    )
    for name, old in sorted(before.teams.items()):
        new = after.teams.get(name)
        if new is None:
            count = f" ({count_by_team[name]} of them)" if keys else ""
            yield _effect(
                EffectCode.KEYS_STOP,
                ("teams", name),
                f"the keys of the team stop working{count}: calls that cost "
                "tokens are refused",
            )
            continue
        for code, field in (
            (EffectCode.RATE_FALLS, "rate_tokens_per_s"),
            (EffectCode.BURST_FALLS, "burst_tokens"),
            (EffectCode.WEIGHT_FALLS, "weight"),
        ):
            old_value, new_value = getattr(old, field), getattr(new, field)
            if new_value < old_value:
                yield _effect(
                    code,
                    ("teams", name, field),
                    f"falls from {_shown(old_value)} to {_shown(new_value)}",
                )


def _compare_models(
    before: schema.Configuration,
    after: schema.Configuration,
) -> typing.Iterator[Effect]:
    for name, model in sorted(before.models.items()):
        new_model = after.models.get(name)
        if new_model is None:
            yield _effect(
                EffectCode.MODEL_STOPS,
                ("models", name),
                f"calls of model {name!r} are refused",
            )
        elif new_model.version != model.version:
            yield _effect(
                EffectCode.MODEL_VERSION_CHANGES,
                ("models", name, "version"),
                f"calls of model {name!r} get version {new_model.version!r} "
                f"once it is loaded; it was {model.version!r}",
            )
    for name, adapter in sorted(before.adapters.items()):
        new_adapter = after.adapters.get(name)
        if new_adapter is None or new_adapter.model != adapter.model:
            yield _effect(
                EffectCode.ADAPTER_STOPS,
                ("adapters", name),
                f"calls of {adapter.model}:{name} are refused",
            )
        elif new_adapter.version != adapter.version:
            yield _effect(
                EffectCode.MODEL_VERSION_CHANGES,
                ("adapters", name, "version"),
                f"calls of {adapter.model}:{name} get version "
                f"{new_adapter.version!r} once it is loaded; it was "
                f"{adapter.version!r}",
            )


def _compare_limits(
    before: schema.Configuration,
    after: schema.Configuration,
) -> typing.Iterator[Effect]:
    for field in schema.Limits.model_fields:
        old_value = getattr(before.limits, field)
        new_value = getattr(after.limits, field)
        if new_value < old_value:
            yield _effect(
                EffectCode.LIMIT_FALLS,
                ("limits", field),
                f"falls from {_shown(old_value)} to {_shown(new_value)}, so "
                "calls above it are refused or cut short",
            )


def _compare_targets(
    before: schema.Configuration,
    after: schema.Configuration,
) -> typing.Iterator[Effect]:
    old_slots, new_slots = _slots_by_group(before), _slots_by_group(after)
    for kind, group in sorted(
        old_slots, key=lambda key: (key[0].value, key[1])
    ):
        old_value = old_slots[kind, group]
        new_value = new_slots[kind, group]
        if new_value < old_value:
            yield _effect(
                EffectCode.CAPACITY_FALLS,
                ("targets",),
                f"the {kind.value}s of group {group!r} run "
                f"{_shown(new_value)} requests at once; it was "
                f"{_shown(old_value)}",
            )


def _slots_by_group(
    configuration: schema.Configuration,
) -> collections.Counter[tuple[schema.TargetKind, str]]:
    slots: collections.Counter[tuple[schema.TargetKind, str]] = (
        collections.Counter()
    )
    for target in configuration.targets.values():
        slots[target.kind, target.group] += target.slots
    return slots
