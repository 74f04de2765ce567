"""Gets permits for requests to targets that limit what they take."""

import dataclasses
import itertools

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import tasks

from cardamom_gateway.fleet import peers
from cardamom_gateway import metrics as metrics_module
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import permit_owners
from cardamom_gateway.targets import target_records

# Time without requests to a target after its owner gave no answer.
NO_ANSWER_PAUSE_MS = 300
# A permit expires this long after the deadline of its request.
EXPIRY_MARGIN_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Permit:
    """A permit for one attempt, and its owner, None for this instance."""

    request: permit_messages.PermitRequest
    owner: peers.Member | None


class PermitClient:
    """Asks the owners of targets for permits, and reports their ends."""

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: clocks.Clock,
        owners: permit_owners.PermitOwners,
        group: tasks.TaskGroup,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._owners = owners
        self._group = group
        self._metrics = metrics or metrics_module.Metrics()
        self._numbers = itertools.count()

    async def acquire(
        self,
        record: target_records.TargetRecord,
        is_urgent: bool,
        remaining_ms: float,
        need: target_records.PermitNeed | None = None,
    ) -> Permit | None:
        """Return a permit for a request to a target that needs one.

        ``remaining_ms`` is the time to the request's deadline.  Without a
        permit the target is paused, and None is returned.
        """
        need = need or record.permit_need(self._clock.now_ms())
        assert need is not None
        request = permit_messages.PermitRequest(
            incarnation=record.target.incarnation,
            permit=f"{self._instance}-{next(self._numbers)}",
            rate_per_s=need.stated_rate_per_s,
            is_brittle=need.is_brittle,
            slots=record.target.slots,
            is_urgent=is_urgent,
            expires_in_ms=int(remaining_ms) + EXPIRY_MARGIN_MS,
            cold_rate_per_s=need.cold.rate_per_s if need.cold else None,
            cold_burst=need.cold.burst if need.cold else None,
        )
        owner = self._owners.limits.owner(request.incarnation)
        running = record.load.running
        wait_ms = (
            await self._owners.take(request, running)
            if owner is None
            else await self._owners.calls.ask_permit(owner, request, running)
        )
        self._metrics.permits.labels(need.reason, _outcome(wait_ms)).inc()
        if wait_ms == 0:
            return Permit(request, owner)
        pause_ms = NO_ANSWER_PAUSE_MS if wait_ms is None else wait_ms
        record.pause_permits(self._clock.now_ms() + pause_ms, is_urgent)
        return None

    def finish(self, permit: Permit, was_rejected: bool) -> None:
        """Report the end of a request, if its owner counts those in flight."""
        if not permit.request.is_brittle:
            return
        end = permit_messages.PermitEnd(
            permit.request.incarnation, permit.request.permit, was_rejected
        )
        self._group.run_in_background(
            self._owners.finish(end)
            if permit.owner is None
            else self._owners.calls.report_permit_end(permit.owner, end)
        )


def _outcome(wait_ms: int | None) -> str:
    """Return how an owner answered, for the counter."""
    if wait_ms is None:
        return "no_answer"
    return "refused" if wait_ms else "given"
