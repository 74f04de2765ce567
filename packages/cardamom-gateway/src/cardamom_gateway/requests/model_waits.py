"""The wait of one request for a model that no engine holds."""

import dataclasses

from cardamom_policy import loading_waits
from cardamom_policy import tiering

from cardamom_gateway import model
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import target_registry


@dataclasses.dataclass(frozen=True)
class Prediction:
    """When a model should be there, in ms.

    ``load_ms`` is the wait for a first event if the load begins at once, and
    ``queue_ms`` the time until it begins, 0 if it has begun.  A request is
    refused if ``deciding_ms`` is too late for it.
    """

    load_ms: float
    queue_ms: float
    deciding_ms: float

    @property
    def first_event_ms(self) -> float:
        """Return the whole wait for a first event."""
        return self.load_ms + self.queue_ms


@dataclasses.dataclass(frozen=True)
class WaitedModel:
    """A model, and the name under which its demand is counted."""

    name: str
    demand_name: str


class ModelWait:
    """Predicts the wait for a model, and records how it ended.

    ``may_learn`` is whether its end tells how long loads take to begin; a
    wait for another target than those that hold the model doesn't.
    ``is_allowed`` returns whether a target may run the request.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        service: model.Service,
        waited: WaitedModel,
        may_learn: bool,
        is_allowed: target_registry.TargetFilter = target_registry.allow_any,
    ) -> None:
        assert service.engine is not None
        self._state = state
        self._service = service.id
        self._is_allowed = is_allowed
        self._spec = service.engine.model_by_name[waited.name]
        self._demand_name = waited.demand_name
        self._started_ms = state.clock.now_ms()
        self._is_first = (
            state.demand.waits_since_ms(waited.demand_name) is None
        )
        due_ms, is_on_disk = self._due_ms(), self._is_on_disk()
        self._may_learn = may_learn and self._is_first and due_ms is None
        self._queue = loading_waits.Queue(
            service.id, is_on_disk, state.demand.is_urgent(waited.demand_name)
        )
        self._first_load_ms = self._load_ms(due_ms, is_on_disk)

    def predict(self) -> Prediction:
        """Return when the model should be there.

        The first request for a model isn't refused for the queue: it shows
        how long the queue is now.
        """
        due_ms = self._due_ms()
        load_ms = self._load_ms(due_ms, due_ms is None and self._is_on_disk())
        queue_ms = self._queue_ms() if due_ms is None else 0.0
        return Prediction(
            load_ms,
            queue_ms,
            load_ms if self._is_first else load_ms + queue_ms,
        )

    def note_loaded(self) -> None:
        """Record that the model is there."""
        self._count("loaded")
        if self._may_learn:
            now_ms = self._state.clock.now_ms()
            self._state.queue_times.note_loaded(
                self._queue,
                now_ms - self._started_ms,
                self._first_load_ms,
                now_ms,
            )

    def note_refused(self, prediction: Prediction) -> None:
        """Record that the request waits no longer."""
        now_ms = self._state.clock.now_ms()
        waited_ms = now_ms - self._started_ms
        self._count("given_up" if waited_ms else "refused_at_once")
        if self._may_learn and not self._state.is_closing:
            self._state.queue_times.note_missed(
                self._queue,
                waited_ms,
                prediction.load_ms,
                self._first_load_ms,
                now_ms,
            )

    def _count(self, outcome: str) -> None:
        self._state.metrics.model_waits.labels(outcome).inc()

    def _queue_ms(self) -> float:
        """Return in how many ms the load should begin, by recent waits.

        With few engines it is 0: their loads differ so much that what some
        requests have waited starved models that were rarely asked for.
        """
        state, now_ms = self._state, self._state.clock.now_ms()
        engines = len(state.targets.of_service(self._service))
        if engines < tiering.MANY_ENGINES:
            return 0.0
        since_ms = state.demand.waits_since_ms(self._demand_name)
        waited_ms = 0 if since_ms is None else now_ms - since_ms
        return state.queue_times.remaining_ms(self._queue, waited_ms, now_ms)

    def _load_ms(self, due_ms: float | None, is_on_disk: bool) -> float:
        spec = self._spec
        return loading_waits.wait_ms(
            tiering.ModelSize(
                spec.memory_mb,
                spec.host_load_ms,
                spec.disk_load_ms,
                spec.store_load_ms,
            ),
            due_ms,
            is_on_disk,
        )

    def _due_ms(self) -> float | None:
        return loading_waits.first_due_ms(
            self._state.targets.load_end_times_ms(
                self._service, self._spec.name, self._is_allowed
            ),
            self._state.clock.now_ms(),
        )

    def _is_on_disk(self) -> bool:
        return self._state.targets.is_on_disk(
            self._service, self._spec.name, self._is_allowed
        )
