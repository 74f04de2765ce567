"""Which regions may run a request.

Routes and teams may name the regions that are their homes.  A request whose
route or team has homes reaches targets there only, and its body passes through
no instance elsewhere, but for the one that its caller has called.  A data
centre whose region is unknown is no home.
"""

import dataclasses
import typing

from cardamom_gateway import model


# Between a model and regions in the name of a demand; no model has blanks.
DEMAND_SEPARATOR = " at "
REGION_SEPARATOR = ","


@dataclasses.dataclass(frozen=True)
class Homes:
    """The regions that may run a request; None stands for any region.

    Without any region left, nothing may run it.
    """

    regions: frozenset[model.RegionId] | None

    @property
    def are_bound(self) -> bool:
        """Return whether there are places that may not run the request."""
        return self.regions is not None

    def includes(
        self,
        data_centre: str,
        region_by_data_centre: typing.Mapping[str, str],
    ) -> bool:
        """Return whether a data centre is in one of the regions."""
        if self.regions is None:
            return True
        return region_by_data_centre.get(data_centre) in self.regions

    def __str__(self) -> str:
        """Return the regions in order."""
        if self.regions is None:
            return "any region"
        return ", ".join(sorted(self.regions)) or "no region"


ANYWHERE = Homes(None)


def demand_name(model_name: str, homes: Homes) -> str:
    """Return the name under which requests wait for a model at their homes.

    It is the model's own name if any region may run them.
    """
    if homes.regions is None:
        return model_name
    regions = REGION_SEPARATOR.join(sorted(homes.regions))
    return f"{model_name}{DEMAND_SEPARATOR}{regions}"


def split_demand_name(name: str) -> tuple[str, Homes]:
    """Return the model and the homes of a demand's name."""
    model_name, separator, regions = name.partition(DEMAND_SEPARATOR)
    if not separator:
        return name, ANYWHERE
    return model_name, Homes(
        frozenset(map(model.RegionId, regions.split(REGION_SEPARATOR)))
    )


def of_request(route: model.Route, team: model.Team | None) -> Homes:
    """Return where a request may run; both the route's and team's homes bind.

    No common region leaves none.
    """
    bound = [
        regions
        for regions in (route.homes, team.homes if team else model.ANY_REGION)
        if regions != model.ANY_REGION
    ]
    if not bound:
        return ANYWHERE
    return Homes(frozenset.intersection(*bound))
