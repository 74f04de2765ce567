"""Tests of a part of prompts under which each engine crashes."""

import asyncio
import dataclasses

import aiohttp
from aiohttp import web
import pytest

from cardamom_gateway.fleet import stored_rows
from cardamom_kernel import trait_suspicion
from tests.wire import scenarios
from tests.wire import standins

BAD_PART = "badbad00"
# The operators count requests from this long after the fifth crash, and sound
# requests from twice as long after it.
CONTACT_S = 3.0
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3
MIN_SOUND_RATIO = 0.5
DOWN_S = 1.0
PREFILL_S = 0.05
REQUEST_PERIOD_S = 0.05
BAD_PERIOD = 5  # each fifth request
DURATION_S = 13.0


@dataclasses.dataclass
class Record:
    """What engines and callers saw, by the event loop's time in s."""

    crash_s: list[float] = dataclasses.field(default_factory=list)
    bad_arrival_s: list[float] = dataclasses.field(default_factory=list)
    sound: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    @property
    def fifth_crash_s(self) -> float:
        """Return when the fifth crash was, or the last of fewer."""
        return self.crash_s[:COUNTED_CRASHES][-1]

    def late_bad_arrivals(self) -> list[float]:
        """Return the arrivals that the operators count."""
        end_s = self.fifth_crash_s + CONTACT_S
        return [at_s for at_s in self.bad_arrival_s if at_s > end_s]

    def late_sound_statuses(self) -> list[int]:
        """Return the statuses of the sound requests that they count."""
        end_s = self.fifth_crash_s + 2 * CONTACT_S
        return [status for at_s, status in self.sound if at_s > end_s]


class Crowd:
    """Callers whose requests share parts, and engines that crash."""

    def __init__(
        self, deployment: standins.Deployment, is_first: bool
    ) -> None:
        self._deployment = deployment
        self._is_first = is_first
        self._tasks: set[asyncio.Task[None]] = set()
        self.record = Record()

    async def answer(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Stream an answer; crash before its first event if told so."""
        now_s = asyncio.get_running_loop().time()
        is_bad = BAD_PART in request.headers["Prompt-Prefix"]
        if is_bad:
            self.record.bad_arrival_s.append(now_s)
        await asyncio.sleep(PREFILL_S)
        if is_bad:
            self.record.crash_s.append(now_s)
            self._start(self._crash(replica))
            await asyncio.sleep(DOWN_S)
        return await standins.stream_events(request, count=3, period_s=0.02)

    async def _crash(self, replica: standins.ReplicaStandIn) -> None:
        await replica.crash(DOWN_S)
        self._deployment.register(replica)

    def _start(self, work: object) -> None:
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Send requests for a while and wait for their answers."""
        for replica in self._deployment.replicas:
            replica.behaviour = self.answer
        for number in range(round(DURATION_S / REQUEST_PERIOD_S)):
            self._start(self._send(session, number))
            await asyncio.sleep(REQUEST_PERIOD_S)
        await standins.wait_until(lambda: not self._tasks)

    async def _send(self, session: aiohttp.ClientSession, number: int) -> None:
        started_s = asyncio.get_running_loop().time()
        is_bad = number % BAD_PERIOD == 0
        first, middle = "5c1e07a2", f"{number % 3:08x}"
        if is_bad and self._is_first:
            first = BAD_PART
        elif is_bad:
            middle = BAD_PART
        headers = scenarios.headers(
            f"a{number}",
            **scenarios.model_headers("m1"),
            Prompt_Prefix=f"{first}:50,{middle}:30,{number + 4096:08x}:20",
        )
        try:
            async with session.post(
                self._deployment.url("/chat/x", number % 3),
                data=f"body {number}",
                headers=headers,
            ) as answer:
                await answer.read()
                status = answer.status
        except aiohttp.ClientError:
            status = 0
        if not is_bad:
            self.record.sound.append((started_s, status))


class TestCrashingPart:
    """Requests of which no two are alike, but for one part."""

    @pytest.mark.parametrize("is_first", [True, False])
    def test_part_that_crashes_engines_stops_reaching_them(
        self, is_first: bool
    ) -> None:
        """Each such request would crash two more engines."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            configuration = standins.configuration(8)
            configuration["tenants"][0]["rate_per_s"] = 0
            deployment.store.put("op", "config", configuration)
            crowd = Crowd(deployment, is_first)
            await crowd.run(session)
            record = crowd.record
            assert len(record.late_bad_arrivals()) <= MAX_LATE_REQUESTS
            statuses = record.late_sound_statuses()
            assert len(statuses) >= 20
            assert statuses.count(200) >= MIN_SOUND_RATIO * len(statuses)

        scenarios.run_scenario(scenario, plain=0, engines=8, gateways=3)


class TestRestartOfAll:
    """A fleet that starts again, without any instance that knows the part."""

    def test_part_stays_refused(self) -> None:
        """Each restart of all instances would cost several engines."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            suspicions = deployment.gateways[0].state.part_suspicions
            for number in range(trait_suspicion.CRASHES_TO_REFUSE):
                suspicions.record_crash(BAD_PART, f"e{number}@1")
            deployment.gateways[0].exchange.suspect_parts.note_crash(BAD_PART)
            await standins.wait_until(
                lambda: any(
                    key == stored_rows.SUSPECTS_KEY
                    for _, key in deployment.store.row_by_name
                )
            )
            for gateway in deployment.gateways:
                await gateway.close()
            new = await deployment.start_gateway()
            await standins.wait_until(
                lambda: new.state.part_suspicions.is_refused(BAD_PART),
                timeout_s=1.0,
            )

        scenarios.run_scenario(scenario, plain=1, engines=0, gateways=2)
