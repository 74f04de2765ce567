"""Tests of the urgency of routes when models are placed."""

import random

import pytest

from cardamom_kernel import ids
from cardamom_policy import urgency


def claim(
    route: str, objective_ms: int, priority: int, service: str = "engines"
) -> urgency.Claim:
    """Return a route's claim."""
    return urgency.Claim(ids.RouteId(route), service, objective_ms, priority)


def urgent(*claims: urgency.Claim) -> set[str]:
    """Return the routes that are urgent by priority only."""
    return {route for route, _ in urgency.urgent_by_priority(claims)}


class TestUrgency:
    """Routes that are urgent by their priority."""

    def test_higher_priority_than_a_short_objective_is_urgent(self) -> None:
        """Requests of priority 1 waited eight times as long as those of 2."""
        assert urgent(
            claim("important", 2_504, 1), claim("quick", 1_204, 2)
        ) == {"important"}

    def test_lowest_priority_of_the_short_objectives_counts(self) -> None:
        """A route is urgent if it goes before any of them."""
        claims = [claim("quick", 800, 0), claim("also-quick", 800, 3)]
        assert urgent(*claims, claim("important", 9_000, 2)) == {"important"}

    @pytest.mark.parametrize("priority", [2, 3])
    def test_same_or_lower_priority_is_not_urgent(self, priority: int) -> None:
        """Deployments of this kind must be served as before."""
        claims = [claim("quick", 800, 2), claim("long", 9_000, priority)]
        assert urgent(*claims) == set()

    def test_other_services_do_not_count(self) -> None:
        """Their requests don't compete for the same engines."""
        claims = [claim("quick", 800, 2, "other"), claim("long", 9_000, 0)]
        assert urgent(*claims) == set()

    def test_route_is_urgent_at_one_of_its_services(self) -> None:
        """A split route may meet short objectives at one of them only."""
        claims = [
            claim("quick", 800, 2, "a"),
            claim("split", 9_000, 1, "a"),
            claim("split", 9_000, 1, "b"),
        ]
        assert urgency.urgent_by_priority(claims) == {("split", "a")}

    def test_routes_with_a_short_objective_are_left_out(self) -> None:
        """They are urgent anyway; operators see what the priority adds."""
        assert urgent(claim("a", 800, 0), claim("b", 800, 2)) == set()

    @pytest.mark.parametrize("seed", range(20))
    def test_nothing_changes_without_a_higher_long_route(
        self, seed: int
    ) -> None:
        """The rule must leave such deployments as they are."""
        draw = random.Random(seed)
        claims = []
        for number in range(200):
            is_short = draw.random() < 0.5
            claims.append(
                claim(
                    f"r{number}",
                    draw.randrange(100, 2_500)
                    if is_short
                    else draw.randrange(2_500, 30_000),
                    draw.randrange(0, 2) if is_short else draw.randrange(1, 4),
                    f"s{draw.randrange(5)}",
                )
            )
        assert urgent(*claims) == set()
