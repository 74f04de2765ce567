"""Whether targets that this instance can't reach are down or only cut off.

A connection that fails shows nothing of a target's state: this instance's own
link may be broken.  Peers in several data centres are therefore asked to
connect to the target.
"""

import asyncio
import collections
import itertools
import random
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import tasks

from cardamom_gateway import attempts
from cardamom_gateway import peers
from cardamom_gateway import state as state_module
from cardamom_gateway import target_registry

LOG = structlog.get_logger("cardamom.gateway.reachability")

# Some of the peers may be cut off from targets too.
MAX_ASKED_PEERS = 5
# A result is used again for this long.
RESULT_RETENTION_MS = 300

ReachCall = typing.Callable[
    [peers.Member, ids.TargetId, int], typing.Awaitable[bool | None]
]


class Reachability:
    """Finds out which targets peers reach and this instance doesn't.

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
        self._check_by_incarnation: dict[
            str, tuple[int, asyncio.Task[bool | None]]
        ] = {}

    async def is_reached_by_peers(
        self, record: target_registry.TargetRecord
    ) -> bool | None:
        """Return whether peers reach a target that this instance doesn't.

        Returns None if no peer could tell, and False if there are no peers.
        """
        now_ms, incarnation = self._clock.now_ms(), record.target.incarnation
        started_ms, check = self._check_by_incarnation.get(
            incarnation, (clocks.NEVER_MS, None)
        )
        if check is None or (
            check.done() and now_ms - started_ms > RESULT_RETENTION_MS
        ):
            check = self._group.run_in_background(self._check(record))
            self._check_by_incarnation = {
                key: entry
                for key, entry in self._check_by_incarnation.items()
                if now_ms - entry[0] <= RESULT_RETENTION_MS
                or not entry[1].done()
            } | {incarnation: (now_ms, check)}
        return await asyncio.shield(check)

    async def _check(
        self, record: target_registry.TargetRecord
    ) -> bool | None:
        target = record.target
        members = self._members_to_ask()
        if not members:
            return None if self._link.member_by_id else False
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
                    LOG.warning(
                        "reachability: only peers reach a target",
                        target=target.id,
                        asked=len(members),
                    )
                    return True
        finally:
            for call in asked:
                call.cancel()
        return False if False in results else None

    def _members_to_ask(self) -> list[peers.Member]:
        """Return peers of as many data centres as possible.

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
            if not peer.update.get("st")
        ]

    async def answer_peer(
        self, target_id: ids.TargetId, started_ms: int
    ) -> bool | None:
        """Return whether this instance reaches a target, for a peer.

        Returns None if it doesn't know the target.
        """
        record = self._state.targets.by_id.get(target_id)
        if record is None or record.target.started_ms != started_ms:
            return None
        return await self._client.probe(record)
