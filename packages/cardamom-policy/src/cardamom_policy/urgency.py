"""Which routes are urgent when models are placed.

Requests with a short objective can't wait for a load, so their models are
placed first.  A route with a longer objective is urgent, too, if its priority
is higher than that of a route of the same service with a short one: otherwise
the less important requests would be served before it.
"""

import dataclasses
import typing

from cardamom_kernel import ids

SHORT_OBJECTIVE_MS = 2_500  # a shorter objective leaves no time for a load


@dataclasses.dataclass(frozen=True)
class Claim:
    """A route's claim on a service; ``priority`` 0 is the most urgent."""

    route: ids.RouteId
    service: str
    objective_ms: int
    priority: int

    @property
    def is_short(self) -> bool:
        """Return whether the objective alone makes the route urgent."""
        return is_short(self.objective_ms)


def is_short(objective_ms: int) -> bool:
    """Return whether an objective leaves no time for a load."""
    return objective_ms < SHORT_OBJECTIVE_MS


def urgent_by_priority(
    claims: typing.Iterable[Claim],
) -> frozenset[tuple[ids.RouteId, str]]:
    """Return the routes and services that are urgent by their priority only.

    The routes with a short objective are left out.
    """
    claims = list(claims)
    lowest_by_service: dict[str, int] = {}
    for claim in claims:
        if claim.is_short:
            lowest_by_service[claim.service] = max(
                claim.priority,
                lowest_by_service.get(claim.service, claim.priority),
            )
    return frozenset(
        (claim.route, claim.service)
        for claim in claims
        if not claim.is_short
        and claim.service in lowest_by_service
        and claim.priority < lowest_by_service[claim.service]
    )
