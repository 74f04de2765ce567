"""The queue before the targets: fair between teams, early to refuse."""

import asyncio
import dataclasses
import typing

from cardamom_daemon import catalog
from cardamom_daemon import demand
from cardamom_daemon import fleet as fleets
from cardamom_daemon import targets as target_module
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_policy import admission
from cardamom_policy import fairness
from cardamom_policy import routing

EXPIRY_CHECK_MS = 100
LOADING_RETRY_MS = 2_000


@dataclasses.dataclass
class Call:
    """One model call that wants a target."""

    request: ids.RequestId
    team: ids.TeamId
    name: catalog.ModelName
    cost: float
    fingerprint: str
    prefix: str
    is_suspect: bool
    on_time_ms: int
    deadline_ms: int
    exclude: set[ids.TargetId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class _Waiting:
    call: Call
    future: asyncio.Future[target_module.Target]


class Dispatcher:
    """Gives queued calls to targets as these have room."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        book: target_module.TargetBook,
        meter: demand.DemandMeter,
        others_in_flight: typing.Callable[[], dict[str, int]],
    ) -> None:
        self._fleet = fleet
        self._book = book
        self._meter = meter
        self._others_in_flight = others_in_flight
        self._queue: fairness.FairQueue[_Waiting] = fairness.FairQueue()
        self._estimate = admission.WaitEstimate()
        self._is_pumping = False
        book.changed.append(self.pump)
        fleet.listen_configuration(self._reconfigure)

    async def acquire(self, call: Call) -> target_module.Target:
        """Wait for a target with room, and count the call as in flight.

        Raises outcomes.Refused if the queue is full or the deadline cannot
        be or is not met.
        """
        self._refuse_early(call)
        waiting = _Waiting(call, asyncio.get_running_loop().create_future())
        entry = fairness.Entry(
            call.team,
            str(call.name),
            call.cost,
            call.on_time_ms,
            call.deadline_ms,
            waiting,
        )
        self._queue.push(entry)
        self._meter.wait(call.name, 1)
        try:
            self.pump()
            return await waiting.future
        except asyncio.CancelledError:
            entry.cancelled = True
            self._give_back(waiting)
            raise
        finally:
            self._meter.wait(call.name, -1)

    def release(self, target: target_module.Target, call: Call) -> None:
        """End a call's stay at a target."""
        self._book.end(target, call.request)

    def pump(self) -> None:
        """Hand out targets until no queued call can run."""
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            self._pump()
        finally:
            self._is_pumping = False

    async def expire(self) -> None:
        """Refuse the calls whose time in the queue is over."""
        for entry in self._queue.expired(self._fleet.clock.now_ms()):
            if not entry.item.future.done():
                entry.item.future.set_exception(
                    outcomes.Refused(self._expired(entry.item.call))
                )

    def _pump(self) -> None:
        if not len(self._queue):
            return
        others = self._others_in_flight()
        chosen: list[routing.Candidate] = []

        def can_run(entry: fairness.Entry[_Waiting]) -> bool:
            candidate = self._choose(entry.item.call, others)
            if candidate is not None:
                chosen[:] = [candidate]
            return candidate is not None

        now_ms = self._fleet.clock.now_ms()
        while (entry := self._queue.pop(can_run, now_ms)) is not None:
            if entry.cancelled or entry.item.future.done():
                continue
            call = entry.item.call
            target = self._book.by_id[chosen[0].id]
            self._book.begin(
                target,
                call.request,
                call.fingerprint,
                call.is_suspect,
            )
            self._estimate.served(call.cost, now_ms)
            entry.item.future.set_result(target)

    def _choose(
        self,
        call: Call,
        others: dict[str, int],
    ) -> routing.Candidate | None:
        ready = [t for t in self._book.engines() if t.has(call.name)]
        candidates = self._book.candidates(ready, others, call.prefix)
        return routing.choose(candidates, call.is_suspect, call.exclude)

    def _give_back(self, waiting: _Waiting) -> None:
        future = waiting.future
        if future.done() and not future.cancelled() and not future.exception():
            self.release(future.result(), waiting.call)

    def _reconfigure(self) -> None:
        teams = self._fleet.catalog.configuration.teams
        self._queue.set_weights(
            {ids.TeamId(name): team.weight for name, team in teams.items()}
        )
        self.pump()

    def _refuse_early(self, call: Call) -> None:
        limits = self._fleet.catalog.configuration.limits
        if len(self._queue) >= limits.max_queued:
            raise outcomes.Refused(
                outcomes.Refusal(
                    outcomes.Code.OVERLOADED,
                    "the queue is full; come back later",
                    outcomes.Step.QUEUE,
                    not_run=True,
                    retry_after_ms=limits.queue_timeout_ms,
                )
            )
        queued = self._queue.waiting_tokens(call.team)
        wait_ms = self._estimate.wait_ms(queued)
        left_ms = call.deadline_ms - self._fleet.clock.now_ms()
        is_served = any(t.has(call.name) for t in self._book.engines())
        if is_served and wait_ms > left_ms:
            raise outcomes.Refused(
                outcomes.Refusal(
                    outcomes.Code.DEADLINE_UNREACHABLE,
                    "the queue is too long for this call's deadline",
                    outcomes.Step.QUEUE,
                    not_run=True,
                    retry_after_ms=round(wait_ms - left_ms),
                )
            )

    def _expired(self, call: Call) -> outcomes.Refusal:
        if any(t.has(call.name) for t in self._book.engines()):
            return outcomes.Refusal(
                outcomes.Code.OVERLOADED,
                "no target had room in time",
                outcomes.Step.QUEUE,
                not_run=True,
                retry_after_ms=EXPIRY_CHECK_MS * 10,
            )
        return outcomes.Refusal(
            outcomes.Code.MODEL_LOADING,
            f"{call.name} is being loaded; come back later",
            outcomes.Step.QUEUE,
            not_run=True,
            retry_after_ms=LOADING_RETRY_MS,
        )
