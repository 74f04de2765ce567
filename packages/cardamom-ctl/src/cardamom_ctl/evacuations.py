"""Which evacuations are in force at the instances of a gateway.

Each instance is asked on its metrics address, all of them at the same time.
"""

import asyncio
import dataclasses
import typing

import aiohttp
from prometheus_client import parser

from cardamom_platform import connectors
from cardamom_platform import pools

IN_FORCE = "cardamom_evacuation_in_force"
DATA_CENTRE = "data_centre"
# Metrics that a gateway of every build exports.
ANY_BUILD_PREFIX = "cardamom_"
TIMEOUT_S = 3.0
# Connections at once; some hundred instances answer within a second or two.
MAX_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True)
class View:
    """The evacuations that an instance has in force.

    ``data_centres`` is None, with an ``error``, for an instance that gives no
    usable answer.
    """

    address: str
    data_centres: frozenset[str] | None
    error: str = ""


def read(addresses: typing.Sequence[str]) -> list[View]:
    """Return the views of instances, in the order of their addresses.

    An address is HOST:PORT.
    """
    return asyncio.run(_read(addresses))


async def _read(addresses: typing.Sequence[str]) -> list[View]:
    async with connectors.open_session(
        connectors.CleanConnector(limit=MAX_CONNECTIONS),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=TIMEOUT_S, sock_read=TIMEOUT_S
        ),
    ) as session:
        return await asyncio.gather(
            *(_read_one(session, address) for address in addresses)
        )


async def _read_one(session: aiohttp.ClientSession, address: str) -> View:
    try:
        async with session.get(f"http://{address}/metrics") as answer:
            text = await answer.text()
            if answer.status != 200:
                return View(address, None, f"status {answer.status}")
        return View(address, decode(text))
    except (*pools.NETWORK_ERRORS, ValueError) as error:
        reason = str(error) or type(error).__name__
        return View(address, None, f"metrics of {address}: {reason}")


def decode(text: str) -> frozenset[str]:
    """Return the evacuated data centres in a gateway's metrics.

    Raises ValueError if the text isn't that of a gateway's metrics.
    """
    families = list(parser.text_string_to_metric_families(text))
    if not any(f.name.startswith(ANY_BUILD_PREFIX) for f in families):
        raise ValueError("no metrics of a gateway")
    return frozenset(
        sample.labels[DATA_CENTRE]
        for family in families
        if family.name == IN_FORCE
        for sample in family.samples
        if sample.value
    )
