"""Checks the heads of answers before anything of them is used."""

import asyncio
import re
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import hdrs
import multidict

HTTP_MAJOR_VERSION = 1
# Statuses of final answers.  aiohttp skips interim ones, but for a switch to
# another protocol, which no request asks for.
FINAL_STATUSES = range(200, 600)
# All heads of an answer together, the interim ones too.
MAX_HEAD_BYTES = 1 << 16
LINE_END = b"\r\n"
HEAD_END = LINE_END + LINE_END
# RFC 9112, sections 4 and 5; without line folding, which gateways may refuse.
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_START_LINE = rb"HTTP/[0-9]\.[0-9] ([0-9]{3})(?: " + _TEXT + rb")?\r\n"
_FIELD_LINE = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT + rb"\r\n"
_LINES = re.compile(_START_LINE + rb"(?:" + _FIELD_LINE + rb")*")
_PROTOCOL = b"HTTP/"


class MalformedHead(aiohttp.ClientError):
    """Raised for an answer whose head isn't that of a final HTTP/1 answer.

    The request may have run.
    """


class HeadReader:
    """Passes the bytes of an answer on once its head is well-formed.

    The parsers of aiohttp take a blank before the colon of some fields, drop
    or join lines that begin with a blank, and end a head at a bare line feed.
    ``is_complete`` is whether the final head has been passed on.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._pending = b""
        self._passed_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that may be parsed now.

        Raises MalformedHead.
        """
        if self.is_complete:
            return data
        pending = self._pending + data
        passed, is_final = 0, False
        while not is_final and (end := pending.find(HEAD_END, passed)) >= 0:
            status = _status(pending[passed : end + len(LINE_END)])
            passed = end + len(HEAD_END)
            is_final = not _is_interim(status)
        if not is_final:
            _check_beginning(pending[passed:])
        head_bytes = passed if is_final else len(pending)
        if self._passed_bytes + head_bytes > MAX_HEAD_BYTES:
            raise MalformedHead(
                f"the head has more than {MAX_HEAD_BYTES} bytes"
            )
        self.is_complete = is_final
        if is_final:
            passed = len(pending)
        self._passed_bytes += passed
        self._pending = pending[passed:]
        return pending[:passed]


def _check_beginning(data: bytes) -> None:
    """Check the complete lines of a head that isn't complete."""
    if not data.startswith(_PROTOCOL[: len(data)]):
        raise MalformedHead("the answer doesn't begin with a status line")
    lines = data[: data.rfind(b"\n") + 1]
    if lines:
        _status(lines)


def _status(lines: bytes) -> bytes:
    """Return the status in the first lines of a head."""
    match = _LINES.fullmatch(lines)
    if match is None:
        raise MalformedHead("a line of the head is malformed")
    return match[1]


def _is_interim(status: bytes) -> bool:
    return status.startswith(b"1") and status != b"101"


class CheckedProtocol(client_proto.ResponseHandler):
    """A client's side of a connection, which parses only sound heads."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head = HeadReader()

    def set_response_params(self, **options: typing.Any) -> None:
        """Expect the answer to a request that has been sent."""
        self._head = HeadReader()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; end the connection if its head is bad."""
        # Without data, a parser that has paused goes on.
        if self._parser is None or self._head.is_complete:
            self._parse(data)
            return
        try:
            checked = self._head.feed(data)
        except MalformedHead as error:
            if self.transport is not None:
                self.transport.close()
            self.set_exception(error)
            return
        if checked:
            self._parse(checked)

    def _parse(self, data: bytes) -> None:
        """Parse bytes; a body that can't be parsed ends at once.

        aiohttp tells only those who wait for a head of its parser's error.
        """
        body = self._payload
        super().data_received(data)
        error = self.exception()
        if body is None or error is None or body.is_eof():
            return
        if body.exception() is None:
            body.set_exception(
                aiohttp.ClientPayloadError("the body is malformed"), error
            )


class CheckedResponse(aiohttp.ClientResponse):
    """An answer that is read only if its head can be used."""

    async def start(self, connection: typing.Any) -> aiohttp.ClientResponse:
        """Read the head; raises MalformedHead, which ends the connection."""
        await super().start(connection)
        problem = _find_problem(self)
        if problem is not None:
            raise MalformedHead(problem)
        return self


def _find_problem(response: aiohttp.ClientResponse) -> str | None:
    """Return why the head of an answer can't be used, None if it can.

    The parsers of aiohttp take any three digits for a status, and any version
    of the form N.N.
    """
    if response.status not in FINAL_STATUSES:
        return f"{response.status:03} is not the status of a final answer"
    version = response.version
    if version is None or version.major != HTTP_MAJOR_VERSION:
        return f"{version} is not a version of HTTP/{HTTP_MAJOR_VERSION}"
    return _framing_problem(response.headers)


def _framing_problem(headers: multidict.CIMultiDictProxy[str]) -> str | None:
    """Return why it is unknown where the body of an answer ends.

    The parsers of aiohttp take a body of another coding as it comes, up to
    the end of the connection, and the one in Python the last of two lengths.
    """
    codings = headers.getall(hdrs.TRANSFER_ENCODING, [])
    if codings and [coding.lower() for coding in codings] != ["chunked"]:
        return f"the body has the transfer codings {codings}"
    lengths = headers.getall(hdrs.CONTENT_LENGTH, [])
    if len(lengths) > 1 or (lengths and codings):
        return f"the body has the lengths {lengths} and codings {codings}"
    return None
