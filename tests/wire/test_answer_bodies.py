"""Tests of how the end of an unframed answer is recognized."""

import types
import typing

import aiohttp
import pytest

from cardamom_platform import answer_bodies


class TestConnectionEnd:
    """The end of the connection of an answer without length or chunks."""

    def test_answer_whose_connection_has_ended_is_not_complete(self) -> None:
        """A reset before the check could be taken for a regular end."""
        protocol = types.SimpleNamespace(closed=None)
        response = types.SimpleNamespace(
            headers={},
            status=200,
            connection=types.SimpleNamespace(protocol=protocol),
        )
        with pytest.raises(aiohttp.ClientPayloadError):
            answer_bodies.connection_end(typing.cast(typing.Any, response))
