"""The queue of model calls that wait for a target.

Service is fair between teams, by their weights.  A call that cannot meet its
deadline is refused before it is queued.
"""

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
LOADING_RETRY_AFTER_MS = 2_000


@dataclasses.dataclass
class Call:
    """One model call that needs a target.

    A call that starts by ``on_time_ms`` can still meet the objective for the
    first token; after ``deadline_ms`` it is refused.  Both are times on the
    instance's clock.
    """

    request_id: ids.RequestId
    team: ids.TeamId
    model_name: catalog.ModelName
    cost_tokens: float
    fingerprint: str
    prefix: str
    is_suspect: bool
    on_time_ms: int
    deadline_ms: int
    excluded: set[ids.TargetId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class _QueuedCall:
    call: Call
    future: asyncio.Future[target_module.Target]


class Dispatcher:
    """Assigns queued calls to targets that have free slots."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        target_registry: target_module.TargetRegistry,
        meter: demand.DemandMeter,
        peers_in_flight: typing.Callable[[], dict[str, int]],
    ) -> None:
        self._fleet = fleet
        self._target_registry = target_registry
        self._meter = meter
        self._peers_in_flight = peers_in_flight
        self._queue: fairness.FairQueue[_QueuedCall] = fairness.FairQueue()
        self._estimate = admission.WaitEstimate()
        self._is_dispatching = False
        target_registry.change_listeners.append(self.dispatch_queued)
        fleet.listen_configuration(self._reconfigure)

    async def acquire(self, call: Call) -> target_module.Target:
        """Wait for a target with a free slot and occupy that slot.

        Raises outcomes.RequestRefused if the queue is full, the expected wait
        exceeds the deadline, or the deadline passes in the queue.
        """
        self._refuse_early(call)
        queued_call = _QueuedCall(
            call, asyncio.get_running_loop().create_future()
        )
        entry = fairness.Entry(
            call.team,
            str(call.model_name),
            call.cost_tokens,
            call.on_time_ms,
            call.deadline_ms,
            queued_call,
        )
        self._queue.push(entry)
        self._meter.add_waiting(call.model_name, 1)
        try:
            self.dispatch_queued()
            return await queued_call.future
        except asyncio.CancelledError:
            entry.cancelled = True
            self._release_if_assigned(queued_call)
            raise
        finally:
            self._meter.add_waiting(call.model_name, -1)

    def release(self, target: target_module.Target, call: Call) -> None:
        """Free the slot that a call occupies at a target."""
        self._target_registry.end_request(target, call.request_id)

    def dispatch_queued(self) -> None:
        """Assign targets until no queued call can run."""
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            self._dispatch_queued()
        finally:
            self._is_dispatching = False

    async def refuse_expired(self) -> None:
        """Refuse the queued calls whose deadline has passed."""
        for entry in self._queue.remove_expired(self._fleet.clock.now_ms()):
            if not entry.item.future.done():
                entry.item.future.set_exception(
                    outcomes.RequestRefused(
                        self._expiry_refusal(entry.item.call)
                    )
                )

    def _dispatch_queued(self) -> None:
        if not len(self._queue):
            return
        peers_in_flight = self._peers_in_flight()
        choice: list[routing.Candidate] = []

        def can_run(entry: fairness.Entry[_QueuedCall]) -> bool:
            candidate = self._choose_target(entry.item.call, peers_in_flight)
            if candidate is not None:
                choice[:] = [candidate]
            return candidate is not None

        now_ms = self._fleet.clock.now_ms()
        while (entry := self._queue.pop(can_run, now_ms)) is not None:
            if entry.cancelled or entry.item.future.done():
                continue
            call = entry.item.call
            target = self._target_registry.by_id[choice[0].id]
            self._target_registry.begin_request(
                target,
                call.request_id,
                call.fingerprint,
                call.is_suspect,
            )
            self._estimate.record_served(call.cost_tokens, now_ms)
            entry.item.future.set_result(target)

    def _choose_target(
        self,
        call: Call,
        peers_in_flight: dict[str, int],
    ) -> routing.Candidate | None:
        ready_engines = [
            t
            for t in self._target_registry.engines()
            if t.has_ready(call.model_name)
        ]
        candidates = self._target_registry.candidates(
            ready_engines, peers_in_flight, call.prefix
        )
        return routing.choose(candidates, call.is_suspect, call.excluded)

    def _release_if_assigned(self, queued_call: _QueuedCall) -> None:
        future = queued_call.future
        if future.done() and not future.cancelled() and not future.exception():
            self.release(future.result(), queued_call.call)

    def _reconfigure(self) -> None:
        teams = self._fleet.catalog.configuration.teams
        self._queue.set_weights(
            {ids.TeamId(name): team.weight for name, team in teams.items()}
        )
        self.dispatch_queued()

    def _refuse_early(self, call: Call) -> None:
        limits = self._fleet.catalog.configuration.limits
        if len(self._queue) >= limits.max_queued:
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.OVERLOADED,
                    "the queue is full; try again later",
                    outcomes.Step.QUEUE,
                    not_run=True,
                    retry_after_ms=limits.queue_timeout_ms,
                )
            )
        queued_tokens = self._queue.waiting_tokens(call.team)
        wait_ms = self._estimate.wait_ms(queued_tokens)
        remaining_ms = call.deadline_ms - self._fleet.clock.now_ms()
        is_model_ready = any(
            t.has_ready(call.model_name)
            for t in self._target_registry.engines()
        )
        if is_model_ready and wait_ms > remaining_ms:
            raise outcomes.RequestRefused(
                outcomes.Refusal(
                    outcomes.Code.DEADLINE_UNREACHABLE,
                    "the queue is too long for this call's deadline",
                    outcomes.Step.QUEUE,
                    not_run=True,
                    retry_after_ms=round(wait_ms - remaining_ms),
                )
            )

    def _expiry_refusal(self, call: Call) -> outcomes.Refusal:
        if any(
            t.has_ready(call.model_name)
            for t in self._target_registry.engines()
        ):
            return outcomes.Refusal(
                outcomes.Code.OVERLOADED,
                "no target had a free slot before the deadline",
                outcomes.Step.QUEUE,
                not_run=True,
                retry_after_ms=EXPIRY_CHECK_MS * 10,
            )
        return outcomes.Refusal(
            outcomes.Code.MODEL_LOADING,
            f"{call.model_name} is being loaded; try again later",
            outcomes.Step.QUEUE,
            not_run=True,
            retry_after_ms=LOADING_RETRY_AFTER_MS,
        )
