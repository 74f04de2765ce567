"""One suspect at a time on a target, over all instances.

Each target has one owner among the live instances, by rendezvous hashing
(Thaler and Ravishankar, 1998).  An instance runs a suspect only with the
owner's permit.  While instances disagree on who is live, two may give one;
then an innocent request may be scored together with a harmful one.
"""

import dataclasses
import hashlib

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_kernel import ids

PERMIT_MS = 130_000
ASK_AGAIN_MS = 100
UNREACHED_TRIES = 20


@dataclasses.dataclass
class _Permit:
    request: str
    until_ms: int


class SuspectPermits:
    """Gives permits for the targets that this instance owns."""

    def __init__(self, fleet: fleets.Fleet, gossip: gossips.Gossip) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._by_target: dict[str, _Permit] = {}

    def handle(self, wanted: messages.PermitWanted) -> bool:
        """Give or take back a permit; tells whether the request has it."""
        now_ms = self._fleet.clock.now_ms()
        held = self._by_target.get(wanted.target)
        is_free = held is None or held.until_ms <= now_ms
        is_own = held is not None and held.request == wanted.request
        if wanted.is_return:
            if is_own:
                del self._by_target[wanted.target]
            return False
        if not (is_free or is_own):
            return False
        self._by_target[wanted.target] = _Permit(
            wanted.request,
            now_ms + PERMIT_MS,
        )
        return True

    async def obtain(self, target: ids.TargetId, request: str) -> None:
        """Wait for the permit to run a suspect on a target.

        Goes on without one if no owner can be reached for long.
        """
        wanted = messages.PermitWanted(target, request, is_return=False)
        unreached = 0
        while unreached < UNREACHED_TRIES:
            try:
                if await self._ask(wanted):
                    return
            except gossips.PeerFailed:
                unreached += 1
            await self._fleet.clock.sleep_ms(ASK_AGAIN_MS)
        self._fleet.metrics.count("models.suspect_without_permit")

    async def give_back(self, target: ids.TargetId, request: str) -> None:
        """Return a permit; a lost return ends with the permit's time."""
        wanted = messages.PermitWanted(target, request, is_return=True)
        try:
            await self._ask(wanted)
        except gossips.PeerFailed:
            self._fleet.metrics.count("models.permit_return_lost")

    async def _ask(self, wanted: messages.PermitWanted) -> bool:
        owner = self._owner(wanted.target)
        if owner is None:
            return self.handle(wanted)
        answer = await self._gossip.call(
            owner,
            "/peer/v1/suspects/permit",
            wanted,
            messages.Accepted,
        )
        return answer.accepted

    def _owner(self, target: str) -> gossips.Peer | None:
        """Return the owner of a target, or None if it is this instance."""
        best = rank(target, self._fleet.instance)
        owner = None
        for peer in self._gossip.live():
            assert peer.heartbeat is not None
            ranked = rank(target, peer.heartbeat.instance)
            if ranked > best:
                best, owner = ranked, peer
        return owner


def rank(target: str, instance: str) -> bytes:
    """Return the weight of an instance for a target."""
    return hashlib.sha256(f"{target}\n{instance}".encode()).digest()
