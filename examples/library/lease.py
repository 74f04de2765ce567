"""Fence orders with the lease library.

Run it with ``python examples/library/lease.py``.
"""

import asyncio
import pathlib
import sys

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import leases

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import at_most_once  # noqa: E402


async def main() -> None:
    """Pass a lease from a process that went quiet to another."""
    clock = clocks.SteppedClock()
    table = at_most_once.SmallTable()
    one, two = (
        leases.Lease(table, clock, "orders", ids.InstanceId(name))
        for name in ("one", "two")
    )
    print(f"one: {(await one.contend()).value}, fence {one.fence()}")
    print(f"two: {(await two.contend()).value}")
    clock.step(leases.LEASE_TTL_MS + 1)
    print(f"one after a pause: fence {one.fence()}")
    clock.step(leases.LEASE_TTL_MS)
    print(f"two: {(await two.contend()).value}, fence {two.fence()}")


if __name__ == "__main__":
    asyncio.run(main())
