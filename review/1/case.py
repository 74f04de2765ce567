"""Two holders give orders to one replica, as the store comes and goes."""

import asyncio
import itertools
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit"))
import deployment  # noqa: E402

LEASE_MS = 3_000
# Orders that arrive so soon after the store's return are left out.
THAW_SLACK_MS = 300
OUTAGE_S = 4.5
# First, outages with a calm time after each.
OUTAGES = 2
CALM_S = 7.0
# Then, outages between which the store serves the other machine for a moment.
SERIES = 12
MOMENT_S = 0.8
END_MS = 112_000
ZONES = ["lz-a", "lz-b"]


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


def holder(store: deployment.Store) -> str:
    """Return the machine in the row of the lease."""
    raw, _ = store.rows["cardamomway-leases", "lease/orders"]
    return str(json.loads(raw)["holder"])


class Outages:
    """Outages of the store, and its returns."""

    def __init__(self, deployed: deployment.Deployment) -> None:
        self._store, self._record = deployed.store, deployed.record
        self._machines = [gateway.name for gateway in deployed.gateways]
        self.returns_ms: list[int] = []

    def begin(self) -> None:
        """Turn all machines away."""
        self._record.note("store-down")
        self._store.turn_away(self._machines, "reset")

    def end(self, still_away: str = "") -> None:
        """Serve all machines again, or all but one."""
        self._store.serve_again(
            [name for name in self._machines if name != still_away]
        )
        self.returns_ms.append(deployment.now_ms())
        self._record.note("store-back", still_away=still_away)

    async def play(self) -> None:
        """Play the whole sequence."""
        for _ in range(OUTAGES):
            self.begin()
            await asyncio.sleep(OUTAGE_S)
            self.end()
            await asyncio.sleep(CALM_S)
        for _ in range(SERIES):
            if deployment.now_ms() > END_MS - 1000 * 2 * OUTAGE_S:
                break
            self.begin()
            await asyncio.sleep(OUTAGE_S)
            self.end(still_away=holder(self._store))
            await asyncio.sleep(MOMENT_S)
        self.begin()
        await asyncio.sleep(OUTAGE_S)
        self.end()
        await asyncio.sleep(1)


def broken(
    replicas: list[deployment.Replica], returns_ms: list[int]
) -> tuple[list[str], list[str]]:
    """Return turns within the lease, and lower tokens after higher ones."""
    turns, tokens = [], []
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
            gap_ms = after["at_ms"] - before["at_ms"]
            line = (
                f"{replica.name}: {before['holder']} (token "
                f"{before['fencing_token']}) at {before['at_ms']}, "
                f"{after['holder']} (token {after['fencing_token']}) "
                f"{gap_ms} ms later"
            )
            if before["holder"] != after["holder"] and gap_ms < LEASE_MS:
                turns.append(line)
            if after["fencing_token"] < before["fencing_token"]:
                tokens.append(line)
    return turns, tokens


async def case(has_trouble: bool) -> bool:
    """Return whether the rule was broken."""
    deployed = deployment.Deployment(pathlib.Path(__file__).parent, ZONES)
    for number, zone in enumerate(ZONES):
        deployed.replicas.append(
            deployment.Replica(
                f"e-{number}",
                "engines",
                zone,
                deployed.store,
                deployed.record,
                models=("m1", "m2"),
            )
        )
    try:
        await deployed.start(deployment.configuration())
        clients = asyncio.create_task(load(deployed))
        await asyncio.sleep(9)
        outages = Outages(deployed)
        if has_trouble:
            await outages.play()
        else:
            await asyncio.sleep(95)
        clients.cancel()
        turns, tokens = broken(deployed.replicas, outages.returns_ms)
        for line in turns:
            deployed.record.note("turn", orders=line)
        for line in tokens:
            deployed.record.note("lower-token", orders=line)
        print("\n".join(turns[:4] + tokens[:4]))
        orders = sum(len(replica.orders) for replica in deployed.replicas)
        print(
            f"{orders} orders, {len(turns)} turns within {LEASE_MS} ms, "
            f"{len(tokens)} lower tokens after higher ones"
        )
        return bool(turns or tokens)
    finally:
        await deployed.close()


deployment.main(case)
