"""The stored use of teams."""

import orjson
import pytest

from cardamom_gateway import usage
from cardamom_kernel import ids

TEAM = ids.TeamId("siesta")


class TestUsage:
    """What a holder writes and a later start reads."""

    def test_the_age_is_by_the_clock_of_the_store(self) -> None:
        """Whoever reads it, it ages alike."""
        row = usage.encode({TEAM: (10.4, 0.0)}, 5_000)
        read = usage.decode(orjson.dumps(row), 5_700)
        assert read == {TEAM: (700, (10.0, 0.0))}

    def test_without_the_clock_the_use_is_new(self) -> None:
        """So that no limit is exceeded."""
        row = usage.encode({TEAM: (10.0,)}, 5_000)
        assert usage.decode(orjson.dumps(row), None) == {TEAM: (0, (10.0,))}

    def test_no_row_is_no_use(self) -> None:
        """Nobody has been near a limit."""
        assert usage.decode(None, 5_000) == {}

    @pytest.mark.parametrize(
        "value", [b"", b"[]", b'{"siesta": 0.5}', b'{"at_ms": 1}']
    )
    def test_another_form_is_an_error(self, value: bytes) -> None:
        """Also that of an earlier version."""
        with pytest.raises(usage.MalformedUsage):
            usage.decode(value, 5_000)
