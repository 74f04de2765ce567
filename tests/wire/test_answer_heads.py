"""Tests of which bytes of an answer are parsed, and when."""

import pytest

from cardamom_platform import answer_heads

FIELDS = b"Name: a b\r\nEmpty:\r\nOther: \xc3\xa9\t\xff\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\nName: x\r\n\r\n"
SOUND = (
    b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n",
    b"HTTP/1.0 404\r\n\r\n",
    b"HTTP/1.1 200 \r\n\r\n",
    INTERIM + INTERIM + b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
)
MALFORMED = (
    b"HTTP/1.1 200 OK\n",
    b"HTTP/1.1 200 OK\r\nName: x\n",
    b"HTTP/1.1 200 OK\r\n\n",
    b"HTTP/1.1 200 OK\r\n folded: x\r\n",
    b"HTTP/1.1 200 OK\r\nName: x\r\n folded\r\n",
    b"HTTP/1.1 200 OK\r\nName : x\r\n",
    b"HTTP/1.1 200 O\x01K\r\n",
    b"HTTP/1.1 20 OK\r\n",
    b"HTTP/1.1  200 OK\r\n",
    b"\r\nHTTP/1.1 200 OK\r\n",
    INTERIM + b"HTTP/1.1 200 OK\r\nName\x00: x\r\n",
    INTERIM + b"body",
    b"no answer",
    b"\x00",
)
BODY = b"a body,\r\n\r\nof any bytes\x00\n"


def _split(data: bytes) -> list[tuple[bytes, ...]]:
    """Return the data whole, in two parts at each place, and in bytes."""
    return [
        (data,),
        *((data[:at], data[at:]) for at in range(1, len(data))),
        tuple(data[at : at + 1] for at in range(len(data))),
    ]


class TestHeadReader:
    """Heads in one piece, and in many."""

    @pytest.mark.parametrize("head", SOUND)
    def test_sound_head_is_passed_on_as_it_is(self, head: bytes) -> None:
        """An answer could be lost for how its bytes arrive."""
        for parts in _split(head + BODY):
            reader = answer_heads.HeadReader()
            passed = b"".join(map(reader.feed, parts))
            assert passed == head + BODY
            assert reader.is_complete

    @pytest.mark.parametrize("head", SOUND)
    def test_nothing_of_an_incomplete_head_is_parsed(
        self, head: bytes
    ) -> None:
        """A parser might take an earlier end for that of the head."""
        begin = head.rfind(b"HTTP/")
        reader = answer_heads.HeadReader()
        assert reader.feed(head[:-1]) == head[:begin]
        assert not reader.is_complete

    @pytest.mark.parametrize("head", MALFORMED)
    def test_malformed_line_is_refused_before_the_head_ends(
        self, head: bytes
    ) -> None:
        """A caller would wait for it until the deadline."""
        for parts in _split(head):
            reader = answer_heads.HeadReader()
            with pytest.raises(answer_heads.MalformedHead):
                for part in parts:
                    reader.feed(part)

    @pytest.mark.parametrize(
        ("beginning", "part"),
        [
            (b"HTTP/1.1 200 ", b"x"),
            (b"HTTP/1.1 200 OK\r\nName: ", b"x"),
            (b"HTTP/1.1 200 OK\r\n", b"Name: x\r\n"),
            (b"", INTERIM),
        ],
    )
    @pytest.mark.parametrize("chunk_bytes", [1_000, 100_000])
    def test_head_without_end_is_refused_at_its_limit(
        self, beginning: bytes, part: bytes, chunk_bytes: int
    ) -> None:
        """It filled the memory until the deadline."""
        reader = answer_heads.HeadReader()
        chunk = part * (chunk_bytes // len(part) + 1)
        fed_bytes = len(beginning)
        reader.feed(beginning)
        with pytest.raises(answer_heads.MalformedHead):
            while fed_bytes < 10 * answer_heads.MAX_HEAD_BYTES:
                fed_bytes += len(chunk)
                reader.feed(chunk)
        assert fed_bytes <= answer_heads.MAX_HEAD_BYTES + len(chunk)
