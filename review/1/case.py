"""Two holders give orders to one replica after an outage of the store."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit"))
import deployment  # noqa: E402

LEASE_MS = 3_000
# Orders that arrive so soon after the store's return are left out.
THAW_SLACK_MS = 300
OUTAGE_S = 4.5
OUTAGES = 5
ZONES = ["lz-a", "lz-b", "lz-c"]


async def load(deployed: deployment.Deployment) -> None:
    """Send streams for changing adapters, so that orders are needed."""
    tasks = set()
    for number in itertools.count():
        gateway = deployed.gateways[number % len(deployed.gateways)]
        headers = {
            "Model": f"m{1 + number % 2}/a{1 + number // 2 % 9}",
            "Token-Usage": "200,12",
            "Prompt-Prefix": f"{number:08x}:200",
        }
        task = asyncio.create_task(
            deployed.send(gateway, "/chat/2f", headers=headers)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.08)


def broken_turns(
    replicas: list[deployment.Replica], returns_ms: list[int]
) -> list[str]:
    """Return the orders that break the rule ONE, replica by replica."""
    found = []
    for replica in replicas:
        counted = [
            order
            for order in replica.orders
            if not any(
                0 <= order["at_ms"] - return_ms <= THAW_SLACK_MS
                for return_ms in returns_ms
            )
        ]
        for before, after in itertools.pairwise(counted):
            if before["holder"] == after["holder"]:
                continue
            gap_ms = after["at_ms"] - before["at_ms"]
            if gap_ms < LEASE_MS:
                found.append(
                    f"{replica.name}: {before['holder']} "
                    f"(token {before['fencing_token']}) at "
                    f"{before['at_ms']}, {after['holder']} "
                    f"(token {after['fencing_token']}) {gap_ms} ms later"
                )
    return found


async def case(has_trouble: bool) -> bool:
    """Return whether the rule was broken."""
    folder = pathlib.Path(__file__).parent
    deployed = deployment.Deployment(folder, ZONES)
    for number in range(2):
        deployed.replicas.append(
            deployment.Replica(
                f"e-{number}",
                "engines",
                ZONES[number],
                deployed.store,
                deployed.record,
                models=("m1", "m2"),
            )
        )
    try:
        await deployed.start(deployment.configuration())
        clients = asyncio.create_task(load(deployed))
        await asyncio.sleep(12)
        machines = [gateway.name for gateway in deployed.gateways]
        returns_ms = []
        for _ in range(OUTAGES):
            if has_trouble:
                deployed.record.note("store-down")
                deployed.store.turn_away(machines, "reset")
            await asyncio.sleep(OUTAGE_S)
            if has_trouble:
                deployed.store.serve_again(machines)
                returns_ms.append(deployment.now_ms())
                deployed.record.note("store-back")
            await asyncio.sleep(9.7)
        clients.cancel()
        found = broken_turns(deployed.replicas, returns_ms)
        for line in found:
            deployed.record.note("broken", turns=line)
            print(line)
        orders = sum(len(r.orders) for r in deployed.replicas)
        print(f"{orders} orders")
        deployed.record.note("end", orders=orders, broken=len(found))
        return bool(found)
    finally:
        await deployed.close()


deployment.main(case)
