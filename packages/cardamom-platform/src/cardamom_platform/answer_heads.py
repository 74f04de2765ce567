"""Checks the heads of answers before anything of them is used."""

import typing

import aiohttp

HTTP_MAJOR_VERSION = 1
# Statuses of final answers.  aiohttp skips interim ones, but for a switch to
# another protocol, which no request asks for.
FINAL_STATUSES = range(200, 600)


class MalformedHead(aiohttp.ClientError):
    """Raised for an answer whose head isn't that of a final HTTP/1 answer.

    The request may have run.
    """


class CheckedResponse(aiohttp.ClientResponse):
    """An answer that is read only if its head is well-formed."""

    async def start(self, connection: typing.Any) -> aiohttp.ClientResponse:
        """Read the head; raises MalformedHead, which ends the connection."""
        await super().start(connection)
        problem = find_problem(self)
        if problem is not None:
            raise MalformedHead(problem)
        return self


def open_session(**options: typing.Any) -> aiohttp.ClientSession:
    """Return a client session that checks the heads of all answers.

    The options are those of aiohttp.ClientSession.
    """
    return aiohttp.ClientSession(response_class=CheckedResponse, **options)


def find_problem(response: aiohttp.ClientResponse) -> str | None:
    """Return what is wrong with the head of an answer, None if it is sound.

    The parsers of aiohttp take any three digits for a status, and any version
    of the form N.N.
    """
    if response.status not in FINAL_STATUSES:
        return f"{response.status:03} is not the status of a final answer"
    version = response.version
    if version is None or version.major != HTTP_MAJOR_VERSION:
        return f"{version} is not a version of HTTP/{HTTP_MAJOR_VERSION}"
    return None
