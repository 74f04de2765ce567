"""Whether targets that this instance can't reach are down or only cut off.

A connection that fails shows nothing of a target's state: this instance's own
link may be broken.  Peers in several data centres are therefore asked to
connect to the target.  If one of them reaches it, requests go through peers
(``relaying``) until a connection from here succeeds again.  If none can tell,
connections from here to other targets show whether this instance is cut off.
"""

import asyncio
import collections
import enum
import itertools
import random
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import tasks

from cardamom_gateway.fleet import peers
from cardamom_gateway.locations import homes as homes_module
from cardamom_gateway.requests import attempts
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.reachability")

# Some of the peers may be cut off from targets too.
MAX_ASKED_PEERS = 5
# A result is used again for this long.
RESULT_RETENTION_MS = 300
# Other targets that are tried if no peer can tell.  Some may be down, too.
MAX_TRIED_TARGETS = 3
# A crashed target's entry is gone, or that of its next start there, by then.
MAX_STATUS_WAIT_MS = 6_000
STATUS_CHECK_PERIOD_MS = 500
# A request waits no longer than this to hear that peers reach a target.
MAX_REQUEST_WAIT_MS = 150
MS_PER_S = 1000
# Between connections from here to a target that only peers reach.
RETRY_PERIOD_MS = 500
# Number of such targets after which all others are tried.
TARGETS_TO_TRY_ALL = 2
# Relayed requests by which a near peer may be ahead of a remote one.
LOCAL_PREFERENCE = 2

ReachCall = typing.Callable[
    [peers.Member, ids.TargetId, int], typing.Awaitable[bool | None]
]


class TargetStatus(enum.Enum):
    """Whether a target that this instance can't reach is down."""

    UP = "up"
    DOWN = "down"
    UNKNOWN = "unknown"


class SharedResults:
    """Results of checks of targets, each of which serves several requests.

    A check that runs, or ended less than RESULT_RETENTION_MS after its start,
    isn't started again.
    """

    def __init__(self, clock: clocks.Clock, group: tasks.TaskGroup) -> None:
        self._clock = clock
        self._group = group
        self._check_by_incarnation: dict[
            str, tuple[int, asyncio.Task[bool | None]]
        ] = {}

    async def get(
        self,
        incarnation: str,
        check: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, bool | None]
        ],
    ) -> bool | None:
        """Return the result of a check of a target's incarnation."""
        now_ms = self._clock.now_ms()
        self._check_by_incarnation = {
            key: (started_ms, task)
            for key, (started_ms, task) in self._check_by_incarnation.items()
            if now_ms - started_ms <= RESULT_RETENTION_MS or not task.done()
        }
        if incarnation not in self._check_by_incarnation:
            task = self._group.run_in_background(check())
            self._check_by_incarnation[incarnation] = (now_ms, task)
        _, task = self._check_by_incarnation[incarnation]
        return await asyncio.shield(task)


class Reachability:
    """Finds out which targets only peers reach, and through which to relay.

    ``ask`` has a peer connect to a target.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        client: attempts.TargetClient,
        link: peers.PeerLink,
        group: tasks.TaskGroup,
        ask: ReachCall,
    ) -> None:
        self._state = state
        self._clock = state.clock
        self._client = client
        self._link = link
        self._group = group
        self._ask = ask
        self._peer_results = SharedResults(self._clock, group)
        self._own_results = SharedResults(self._clock, group)

    async def is_reached_by_peers(
        self, record: target_records.TargetRecord
    ) -> bool | None:
        """Return whether peers reach a target that this instance doesn't.

        If no peer could tell, returns False if this instance reaches other
        targets, so that the target itself must be down, and else None.
        Returns False, too, if there are no peers.
        """
        return await self._peer_results.get(
            record.target.incarnation, lambda: self._check(record)
        )

    async def _check(self, record: target_records.TargetRecord) -> bool | None:
        target = record.target
        members = self._members_to_ask()
        if not self._link.member_by_id:
            return False
        asked = [
            asyncio.ensure_future(
                self._ask(member, target.id, target.started_ms)
            )
            for member in members
        ]
        results: list[bool | None] = []
        try:
            for answer in asyncio.as_completed(asked):
                results.append(await answer)
                if results[-1]:
                    self._mark_relayed(record)
                    return True
        finally:
            for call in asked:
                call.cancel()
        if False in results or await self._is_target_down(record):
            return False
        return None

    async def _is_target_down(
        self, record: target_records.TargetRecord
    ) -> bool:
        """Return whether this instance reaches other targets, but not this.

        The target is tried last, as a cut may have ended meanwhile.
        """
        others = [
            other
            for other in self._state.targets.by_id.values()
            if other is not record
            and not other.is_relayed
            and not self._state.targets.is_evacuated(other.target)
        ]
        tried = random.sample(others, min(len(others), MAX_TRIED_TARGETS))
        reached = await asyncio.gather(*map(self._probe, tried))
        return any(reached) and not await self._client.probe(record)

    def _members_to_ask(self) -> list[peers.Member]:
        """Return peers that aren't cut off, of as many data centres as can be.

        A cut may concern a whole data centre.
        """
        by_data_centre = collections.defaultdict(list)
        for peer in self._usable_peers():
            by_data_centre[peer.member.data_centre].append(peer.member)
        groups = list(by_data_centre.values())
        for members in groups:
            random.shuffle(members)
        random.shuffle(groups)
        rounds = itertools.zip_longest(*groups)
        members = [m for m in itertools.chain.from_iterable(rounds) if m]
        return members[:MAX_ASKED_PEERS]

    def _usable_peers(self) -> list[peers.Peer]:
        return [
            peer
            for peer in self._link.fresh_peers()
            if not peer.update.get("st") and not peer.update.get("ct")
        ]

    async def answer_peer(
        self, target_id: ids.TargetId, started_ms: int
    ) -> bool | None:
        """Return whether this instance reaches a target, for a peer.

        Returns None if it doesn't know the target, or is cut off itself.
        """
        record = self._state.targets.by_id.get(target_id)
        if record is None or record.target.started_ms != started_ms:
            return None
        if await self._probe(record):
            return True
        return None if self._state.targets.is_cut_off else False

    async def determine_status(
        self, record: target_records.TargetRecord
    ) -> TargetStatus:
        """Return whether a target that isn't reached from here is down.

        While nobody can tell, waits until the target is reached again or its
        entry is gone, at most for MAX_STATUS_WAIT_MS.
        """
        end_ms = self._clock.now_ms() + MAX_STATUS_WAIT_MS
        while self._clock.now_ms() < end_ms:
            is_reached = await self.is_reached_by_peers(record)
            if is_reached is not None:
                return TargetStatus.UP if is_reached else TargetStatus.DOWN
            await self._clock.sleep_ms(STATUS_CHECK_PERIOD_MS)
            if self._state.targets.has_ended_unplanned(record):
                return TargetStatus.DOWN
            if await self._probe(record):
                return TargetStatus.UP
        return TargetStatus.UNKNOWN

    async def _probe(self, record: target_records.TargetRecord) -> bool:
        return bool(
            await self._own_results.get(
                record.target.incarnation, lambda: self._client.probe(record)
            )
        )

    async def is_reached_soon(
        self, record: target_records.TargetRecord
    ) -> bool:
        """Return whether peers are known to reach a target, without delay."""
        try:
            async with asyncio.timeout(MAX_REQUEST_WAIT_MS / MS_PER_S):
                return bool(await self.is_reached_by_peers(record))
        except TimeoutError:
            return False

    # What this instance reaches itself.

    def on_unreached(self, record: target_records.TargetRecord) -> None:
        """Ask peers for a target that this instance can't reach."""
        self._group.run_in_background(self._run_check(record))

    async def _run_check(self, record: target_records.TargetRecord) -> None:
        await self.is_reached_by_peers(record)

    def _mark_relayed(self, record: target_records.TargetRecord) -> None:
        if record.is_relayed:
            return
        record.is_relayed = True
        record.next_retry_ms = self._clock.now_ms() + RETRY_PERIOD_MS
        LOG.warning(
            "reachability: only through peers", target=record.target.id
        )
        self._state.targets.notify()
        if len(self._state.targets.relayed()) >= TARGETS_TO_TRY_ALL:
            for other in self._state.targets.by_id.values():
                if not other.is_relayed:
                    self._group.run_in_background(self._try(other))

    async def retry_targets(self) -> None:
        """Connect from here to targets that only peers reach, when due."""
        now_ms = self._clock.now_ms()
        for record in self._state.targets.relayed():
            if now_ms >= record.next_retry_ms:
                record.next_retry_ms = now_ms + RETRY_PERIOD_MS
                self._group.run_in_background(self._try(record))

    async def _try(self, record: target_records.TargetRecord) -> None:
        if self._state.targets.is_evacuated(record.target):
            return
        if not await self._probe(record):
            if not record.is_relayed:
                record.record_connect_failure(self._clock.now_ms())
                await self.is_reached_by_peers(record)
            return
        if record.is_relayed:
            LOG.info("reachability: from here again", target=record.target.id)
            record.is_relayed = False
            record.failure_ratio = 0.0  # of the link, not of the target
            record.record_connect_success(self._clock.now_ms())
            self._state.targets.notify()

    # Relays.

    def relay_for(
        self,
        record: target_records.TargetRecord,
        exclude: typing.Container[ids.InstanceId],
        homes: homes_module.Homes = homes_module.ANYWHERE,
    ) -> peers.Member | None:
        """Return the peer to send a request through, None to send it directly.

        Peers outside the request's homes may not get its body.

        The peer with the fewest requests of this instance is chosen, and a
        near one if it has only a few more.
        """
        if not record.is_relayed:
            return None
        regions = self._state.settings.region_by_data_centre
        members = [
            peer.member
            for peer in self._usable_peers()
            if peer.member.id not in exclude
            and homes.includes(peer.member.data_centre, regions)
        ]
        random.shuffle(members)
        local = self._state.settings.data_centre
        relayed_by_peer = collections.Counter(
            attempt.relay.id
            for other in self._state.targets.by_id.values()
            for attempt in other.attempts
            if attempt.relay is not None
        )
        return min(
            members,
            key=lambda member: (
                relayed_by_peer[member.id]
                + LOCAL_PREFERENCE * (member.data_centre != local)
            ),
            default=None,
        )

    def is_heard(self, member: peers.Member) -> bool:
        """Return whether state updates of a peer are fresh."""
        fresh = self._link.fresh_peers()
        return any(peer.member.id == member.id for peer in fresh)

    def on_relay_failed(self, record: target_records.TargetRecord) -> None:
        """Record that peers don't reach a target any more."""
        record.is_relayed = False
        record.record_connect_failure(self._clock.now_ms())
        self.on_unreached(record)
