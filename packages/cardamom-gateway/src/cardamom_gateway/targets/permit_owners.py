"""Finds the one instance that counts the requests at a brittle target.

Instances learn of each other's starts and stops at different times, so that
two may be taken for the owner of a target at once.  A new owner therefore
takes the count over from the one before, and whoever is asked without having
it passes the question on, once.
"""

import abc
import asyncio
import dataclasses

import structlog

from cardamom_kernel import clocks
from cardamom_policy import room

from cardamom_gateway.fleet import peers
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import target_limits

LOG = structlog.get_logger("cardamom.gateway.limits")

# Questions are passed on to the next owner for so long, until it is heard.
MOVED_RETENTION_MS = peers.MAX_PEER_AGE_MS


class PermitCalls(abc.ABC):
    """Calls to the other instances about permits."""

    @abc.abstractmethod
    async def ask_permit(
        self,
        owner: peers.Member,
        request: permit_messages.PermitRequest,
        running: int,
        is_passed_on: bool = False,
    ) -> int | None:
        """Ask an owner for a permit; return the ms to wait, or None.

        ``running`` is the number of the sender's requests at the target.
        Returns 0 for a permit, None without an answer.
        """

    @abc.abstractmethod
    async def report_permit_end(
        self,
        owner: peers.Member,
        end: permit_messages.PermitEnd,
        is_passed_on: bool = False,
    ) -> None:
        """Tell an owner that a request with a permit has ended."""

    @abc.abstractmethod
    async def take_count(
        self,
        previous: peers.Member,
        incarnation: str,
        to: peers.Member | None = None,
    ) -> room.Count | None:
        """Take a target's count over from an instance, None without one.

        ``to`` is the next owner if that is another one, which has asked this
        instance for the count.
        """

    @abc.abstractmethod
    async def return_count(
        self,
        owner: peers.Member,
        incarnation: str,
        count: room.Count,
    ) -> None:
        """Give a target's count to the instance that owns it now."""


@dataclasses.dataclass(frozen=True)
class _Move:
    """Who has taken a count over, and when."""

    to: peers.Member
    at_ms: int


class PermitOwners:
    """Answers for the permits of the targets that are counted here."""

    def __init__(
        self,
        clock: clocks.Clock,
        limits: target_limits.TargetLimits,
        calls: PermitCalls,
    ) -> None:
        self._clock = clock
        self.limits = limits
        self.calls = calls
        self._move_by_incarnation: dict[str, _Move] = {}
        self._takeover_by_incarnation: dict[str, asyncio.Task[None]] = {}

    async def take(
        self,
        request: permit_messages.PermitRequest,
        running: int | None,
        is_passed_on: bool = False,
    ) -> int | None:
        """Take a permit; return 0, the ms to wait, or None without an owner.

        ``running`` is the number of the sender's requests at the target,
        None if it is of an earlier build.
        """
        incarnation = request.incarnation
        if not request.is_brittle or self.limits.is_counting(incarnation):
            return self.limits.take(request, running)
        owner = self._find_other(incarnation)
        if owner is not None:
            if is_passed_on:
                return target_limits.ROOM_WAIT_MS
            return await self.calls.ask_permit(
                owner, request, running or 0, is_passed_on=True
            )
        await self._take_over(incarnation, request.slots)
        return self.limits.take(request, running)

    async def finish(
        self, end: permit_messages.PermitEnd, is_passed_on: bool = False
    ) -> None:
        """Record the end of a request, wherever it is counted."""
        if self.limits.is_counting(end.incarnation):
            self.limits.finish(end)
            return
        owner = self._find_other(end.incarnation)
        if owner is not None and not is_passed_on:
            await self.calls.report_permit_end(owner, end, is_passed_on=True)

    async def hand_over(
        self, incarnation: str, to: peers.Member, is_passed_on: bool = False
    ) -> room.Count | None:
        """Give a target's count up to its next owner, None without one."""
        count = self.limits.give_up(incarnation)
        if count is not None:
            self._note_move(incarnation, to)
            return count
        owner = self._find_other(incarnation)
        if owner is None or owner.id == to.id or is_passed_on:
            return None
        return await self.calls.take_count(owner, incarnation, to)

    def accept(self, incarnation: str, count: room.Count) -> None:
        """Go on with the count of an instance that owned a target before."""
        self._move_by_incarnation.pop(incarnation, None)
        self.limits.begin_count(incarnation, count)

    async def return_counts(self) -> None:
        """Give up the counts of targets that another instance owns now."""
        for incarnation, owner in self.limits.counted_for_others():
            count = self.limits.give_up(incarnation)
            if count is not None:
                self._note_move(incarnation, owner)
                await self.calls.return_count(owner, incarnation, count)

    def _find_other(self, incarnation: str) -> peers.Member | None:
        """Return another instance that may count for a target, or None."""
        move = self._move_by_incarnation.get(incarnation)
        now_ms = self._clock.now_ms()
        if (
            move is not None
            and now_ms - move.at_ms <= MOVED_RETENTION_MS
            and not self.limits.is_stopping_peer(move.to.id)
        ):
            return move.to
        return self.limits.owner(incarnation)

    def _note_move(self, incarnation: str, to: peers.Member) -> None:
        now_ms = self._clock.now_ms()
        self._move_by_incarnation = {
            other: move
            for other, move in self._move_by_incarnation.items()
            if now_ms - move.at_ms <= MOVED_RETENTION_MS
        } | {incarnation: _Move(to, now_ms)}
        LOG.info("limits: count moved", target=incarnation, to=to.id)

    async def _take_over(self, incarnation: str, slots: int) -> None:
        """Begin to count for a target, in one task for all who wait for it."""
        task = self._takeover_by_incarnation.get(incarnation)
        if task is None:
            task = asyncio.create_task(self._begin_count(incarnation, slots))
            self._takeover_by_incarnation[incarnation] = task
            task.add_done_callback(
                lambda _: self._takeover_by_incarnation.pop(incarnation, None)
            )
        await asyncio.shield(task)

    async def _begin_count(self, incarnation: str, slots: int) -> None:
        previous = self.limits.previous_owner(incarnation)
        count = (
            None
            if previous is None
            else await self.calls.take_count(previous, incarnation)
        )
        if self.limits.is_counting(incarnation):
            return  # given to this instance meanwhile
        if count is None:
            count = self.limits.estimate_count(incarnation, slots)
        self.accept(incarnation, count)
