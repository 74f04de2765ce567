"""Tests of the regions that may run a request."""

import dataclasses

import pytest

from cardamom_gateway.locations import homes
from cardamom_gateway import model
from cardamom_kernel import ids

REGION_BY_DATA_CENTRE = {"bog-a": "co", "med-a": "co", "mad-a": "es"}
CO = frozenset({model.RegionId("co")})
ES = frozenset({model.RegionId("es")})
ROUTE = model.Route(
    id=ids.RouteId("r"),
    host="h",
    prefix="/",
    kind=model.CallKind.IDEMPOTENT,
    splits=(),
    timeout_ms=1_000,
    objective_ms=1_000,
    priority=0,
    max_attempts=1,
    allows_unknown_keys=True,
    is_resumable=False,
)
TEAM = model.Team(
    id=ids.TeamId("t"),
    keys=(),
    priority=None,
    rate_per_s=0.0,
    burst=0.0,
    counts_tokens=False,
    default_request_tokens=1.0,
)


def data_centres(
    of_route: frozenset[model.RegionId],
    of_team: frozenset[model.RegionId] | None,
) -> list[str]:
    """Return the data centres that may run a request."""
    team = (
        None if of_team is None else dataclasses.replace(TEAM, homes=of_team)
    )
    found = homes.of_request(dataclasses.replace(ROUTE, homes=of_route), team)
    return [
        data_centre
        for data_centre in (*REGION_BY_DATA_CENTRE, "elsewhere")
        if found.includes(data_centre, REGION_BY_DATA_CENTRE)
    ]


class TestDemandNames:
    """Names under which requests wait for a model at their homes."""

    @pytest.mark.parametrize("regions", [None, CO, CO | ES])
    def test_name_gives_model_and_homes_back(
        self, regions: frozenset[model.RegionId] | None
    ) -> None:
        """The holder of orders would load the model anywhere, or not."""
        found = homes.Homes(regions)
        name = homes.demand_name("m1/a", found)
        assert homes.split_demand_name(name) == ("m1/a", found)

    def test_name_for_any_region_is_that_of_the_model(self) -> None:
        """Deployments without homes exchange the same messages as before."""
        assert homes.demand_name("m1", homes.ANYWHERE) == "m1"


class TestHomes:
    """Homes of routes and teams."""

    @pytest.mark.parametrize(
        ("of_route", "of_team", "expected"),
        [
            (
                model.ANY_REGION,
                None,
                ["bog-a", "med-a", "mad-a", "elsewhere"],
            ),
            (
                model.ANY_REGION,
                model.ANY_REGION,
                ["bog-a", "med-a", "mad-a", "elsewhere"],
            ),
            (CO, None, ["bog-a", "med-a"]),
            (CO, model.ANY_REGION, ["bog-a", "med-a"]),
            (model.ANY_REGION, ES, ["mad-a"]),
            (CO | ES, ES, ["mad-a"]),
            (CO | ES, CO | ES, ["bog-a", "med-a", "mad-a"]),
        ],
    )
    def test_both_bind_and_unknown_regions_are_none(
        self,
        of_route: frozenset[model.RegionId],
        of_team: frozenset[model.RegionId] | None,
        expected: list[str],
    ) -> None:
        """A request would run where its team or its route forbids it."""
        assert data_centres(of_route, of_team) == expected

    def test_no_common_region_is_not_any_region(self) -> None:
        """An empty intersection looks like homes that aren't stated."""
        assert data_centres(CO, ES) == []
        route = dataclasses.replace(ROUTE, homes=CO)
        team = dataclasses.replace(TEAM, homes=ES)
        assert homes.of_request(route, team).are_bound
