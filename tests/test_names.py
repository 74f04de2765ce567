"""The page of names says what the code says."""

from tools import names


class TestNamesPage:
    """A name that others read changes only with the page."""

    def test_page_is_current(self) -> None:
        """Otherwise run: python -m tools.names > docs/NAMES.md."""
        assert names.PAGE.read_text() == names.render()

    def test_no_heading_is_empty(self) -> None:
        """A moved module would empty its part without a word."""
        found = names.names_by_heading()
        assert not [heading for heading in found if not found[heading]]
