"""Replicas that limit their requests, turn them away, leave or are brittle."""

import asyncio
import collections
import math
import random
import typing

from aiohttp import web

from tests.soak import ledger as ledgers
from tests.wire import standins

LIMITS = ("0", "0.5", "1.5", "8")
PAUSES_S = ("0.8", "2", "3.5")
ROOM = 2
TOLERATED_REJECTIONS = 3
SECOND_S = 1.0


class Needs:
    """What replicas state of their limits, and how they keep to it."""

    def __init__(self, ledger: ledgers.Ledger, rnd: random.Random) -> None:
        self._ledger = ledger
        self._random = rnd
        self._limit_by_replica: dict[str, str] = {}
        self._brittle: dict[str, ledgers.BrittleTime] = {}
        self._pause_by_replica: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._running: collections.Counter[str] = collections.Counter()
        self._rejected_s: dict[str, list[float]] = {}
        self.crash: typing.Callable[[standins.ReplicaStandIn], None]

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def limit(
        self, replica: standins.ReplicaStandIn, duration_s: float
    ) -> None:
        """Let a replica state a limit for a time."""
        limit = self._random.choice(LIMITS)
        stated = ledgers.StatedLimit(
            replica.name, replica.born_ms, float(limit), self._now_s()
        )
        self._ledger.limits.append(stated)
        self._limit_by_replica[replica.name] = limit
        await asyncio.sleep(duration_s)
        stated.end_s = self._now_s()
        self._limit_by_replica.pop(replica.name, None)

    async def pause(
        self, replica: standins.ReplicaStandIn, duration_s: float
    ) -> None:
        """Let a replica reject all requests for a time, and name one."""
        self._pause_by_replica[replica.name] = self._random.choice(PAUSES_S)
        await asyncio.sleep(duration_s)
        self._pause_by_replica.pop(replica.name, None)

    def leave(self, replica: standins.ReplicaStandIn) -> None:
        """Let a replica say in its answers that it leaves."""
        self._leaving.add(replica.name)

    async def be_brittle(
        self, replicas: list[standins.ReplicaStandIn], duration_s: float
    ) -> None:
        """Let the replicas of a service state that they are brittle."""
        time = ledgers.BrittleTime(len(replicas), self._now_s())
        self._ledger.brittle_times.append(time)
        names = [replica.name for replica in replicas]
        self._brittle |= dict.fromkeys(names, time)
        await asyncio.sleep(duration_s)
        for name in names:
            self._brittle.pop(name, None)

    def entry(self, replica: standins.ReplicaStandIn) -> dict[str, typing.Any]:
        """Return a replica's next entry, with how long it stays cold."""
        cold_s = self._ledger.cold_remaining_s(replica.name, self._now_s())
        return replica.entry() | {"cold_remaining_ms": math.ceil(cold_s * 1e3)}

    def headers(self, replica: standins.ReplicaStandIn) -> dict[str, str]:
        """Return what an answer of a replica states."""
        stated = {}
        if replica.name in self._limit_by_replica:
            stated["Server-Limit"] = self._limit_by_replica[replica.name]
        if replica.name in self._brittle:
            stated["Server-Brittle"] = str(TOLERATED_REJECTIONS)
        if replica.name in self._leaving:
            stated["Server-Leaving"] = "1"
        return stated

    def rejection(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.Response | None:
        """Return a rejection of a replica that pauses or has no room."""
        if replica.name in self._pause_by_replica:
            return self._turn_away(replica, request)
        time = self._brittle.get(replica.name)
        if time is None or self._running[replica.name] < ROOM:
            return None
        now_s = self._now_s()
        recent = [
            at_s
            for at_s in self._rejected_s.get(replica.name, [])
            if now_s - at_s < SECOND_S
        ]
        self._rejected_s[replica.name] = [*recent, now_s]
        if (
            len(recent) >= TOLERATED_REJECTIONS
            and now_s - time.begun_s > ledgers.CONTACT_S
        ):
            self._rejected_s[replica.name].clear()
            time.falls += 1
            self.crash(replica)
        return web.Response(
            status=503,
            headers=standins.signed(request)
            | self.headers(replica)
            | {"Not-Executed": "1"},
        )

    def _turn_away(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.Response:
        pause = self._pause_by_replica[replica.name]
        self._ledger.note_turned_away(
            replica.name,
            request.headers["Attempt-Id"],
            self._now_s(),
            float(pause),
        )
        return web.Response(
            status=503,
            headers=standins.signed(request)
            | self.headers(replica)
            | {"Not-Executed": "1", "Retry-After": pause},
        )

    def begin(self, replica: standins.ReplicaStandIn) -> None:
        """Count a request that runs at a replica."""
        self._running[replica.name] += 1

    def end(self, replica: standins.ReplicaStandIn) -> None:
        """Count the end of such a request."""
        self._running[replica.name] -= 1
