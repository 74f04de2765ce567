"""Calls to an instance's operator port."""

import asyncio
import dataclasses
import typing

import aiohttp

from cardamom_platform import connectors
from cardamom_platform import pools

TIMEOUT_S = 30.0

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer to a call; ``status`` 0 means that no instance answered."""

    status: int
    body: Json

    @property
    def is_ok(self) -> bool:
        """Return whether the call succeeded."""
        return 200 <= self.status < 300

    @property
    def error(self) -> str:
        """Return the error message, empty after a success."""
        error = self.body.get("error", {})
        return str(error.get("message", "")) if not self.is_ok else ""


class OperatorClient:
    """Calls the operator ports in order until one can be reached."""

    def __init__(self, urls: typing.Sequence[str], key: str) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._headers = {"Authorization": f"Bearer {key}"}

    def call(self, method: str, path: str, body: object = None) -> Answer:
        """Call the first instance that can be reached.

        A call that may have reached an instance is not sent to another.
        """
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: object) -> Answer:
        errors: list[str] = []
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=2.0)
        async with connectors.open_session(
            connectors.CleanConnector(), timeout=timeout
        ) as session:
            for url in self._urls:
                try:
                    return await self._send(session, method, url + path, body)
                except aiohttp.ClientConnectorError as error:
                    errors.append(f"{url}: {error}")
                except pools.NETWORK_ERRORS as error:
                    errors.append(f"{url}: no answer: {error!r}")
                    break
        message = "; ".join(errors)
        return Answer(0, {"error": {"code": "unreached", "message": message}})

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        body: object,
    ) -> Answer:
        async with session.request(
            method,
            url,
            json=body,
            headers=self._headers,
        ) as response:
            parsed = await response.json(content_type=None)
            return Answer(response.status, parsed)
