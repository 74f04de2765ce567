"""Protect orders by fencing numbers with the leases module.

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
    """Pass a lease from a paused process to another one."""
    clock = clocks.SteppedClock()
    table = at_most_once.MemoryTable()
    first, second = (
        leases.Lease(table, clock, "orders", ids.InstanceId(name))
        for name in ("first", "second")
    )
    print(f"first: {(await first.contend()).value}, fence {first.fence()}")
    print(f"second: {(await second.contend()).value}")
    clock.step(leases.LEASE_TTL_MS + 1)
    print(f"first after a pause: fence {first.fence()}")
    clock.step(leases.LEASE_TTL_MS)
    print(f"second: {(await second.contend()).value}, fence {second.fence()}")


if __name__ == "__main__":
    asyncio.run(main())
