"""Tests of the stored usage of teams."""

import orjson
import pytest

from cardamom_gateway.fleet import usage
from cardamom_kernel import ids

TEAM = ids.TeamId("siesta")


class TestUsage:
    """The row that a lease holder writes and a starting instance reads."""

    def test_age_is_by_the_stores_clock(self) -> None:
        """An instance would misjudge the age by its own clock."""
        row = usage.encode({TEAM: (10.4, 0.0)}, 5_000)
        read = usage.decode(orjson.dumps(row), 5_700)
        assert read == {TEAM: (700, (10.0, 0.0))}

    def test_usage_counts_as_new_without_the_clock(self) -> None:
        """Otherwise a team could exceed the limit of its rate."""
        row = usage.encode({TEAM: (10.0,)}, 5_000)
        assert usage.decode(orjson.dumps(row), None) == {TEAM: (0, (10.0,))}

    def test_missing_row_is_no_usage(self) -> None:
        """No row exists while no team has been near a limit."""
        assert usage.decode(None, 5_000) == {}

    @pytest.mark.parametrize(
        "value", [b"", b"[]", b'{"siesta": 0.5}', b'{"at_ms": 1}']
    )
    def test_malformed_row_is_an_error(self, value: bytes) -> None:
        """A row of an earlier version is malformed, too."""
        with pytest.raises(usage.MalformedUsage):
            usage.decode(value, 5_000)
