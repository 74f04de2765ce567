"""Permits that limit each target to one suspect at a time.

A suspect is a request that was in flight on a target when it crashed.  Each
target has one owner among the live instances, by rendezvous hashing (Thaler
and Ravishankar, 1998).  An instance runs a suspect only with the owner's
permit.  While instances disagree on which instances are live, two may each
grant a permit for one target; then a harmless request may be scored together
with a harmful one.
"""

import dataclasses
import hashlib

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_kernel import ids

PERMIT_LIFETIME_MS = 130_000
RETRY_DELAY_MS = 100
MAX_FAILED_CALLS = 20


@dataclasses.dataclass
class _Permit:
    request_id: str
    expires_ms: int


class SuspectPermits:
    """Obtains permits, and grants those for targets of this instance."""

    def __init__(self, fleet: fleets.Fleet, gossip: gossips.Gossip) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._permit_by_target: dict[str, _Permit] = {}

    def grant_or_return(self, permit_request: messages.PermitRequest) -> bool:
        """Grant or take back a permit.

        Returns whether the request holds the permit now.
        """
        now_ms = self._fleet.clock.now_ms()
        current = self._permit_by_target.get(permit_request.target)
        is_free = current is None or current.expires_ms <= now_ms
        is_own = (
            current is not None
            and current.request_id == permit_request.request
        )
        if permit_request.is_return:
            if is_own:
                del self._permit_by_target[permit_request.target]
            return False
        if not (is_free or is_own):
            return False
        self._permit_by_target[permit_request.target] = _Permit(
            permit_request.request,
            now_ms + PERMIT_LIFETIME_MS,
        )
        return True

    async def obtain(self, target: ids.TargetId, request_id: str) -> None:
        """Wait for the permit to run a suspect on a target.

        Returns without a permit after MAX_FAILED_CALLS failed calls.
        """
        permit_request = messages.PermitRequest(
            target, request_id, is_return=False
        )
        failed_calls = 0
        while failed_calls < MAX_FAILED_CALLS:
            try:
                if await self._call_owner(permit_request):
                    return
            except gossips.PeerFailed:
                failed_calls += 1
            await self._fleet.clock.sleep_ms(RETRY_DELAY_MS)
        self._fleet.metrics.count("models.suspect_without_permit")

    async def release(self, target: ids.TargetId, request_id: str) -> None:
        """Return a permit to the owner.

        If the owner cannot be reached, the permit expires by itself.
        """
        permit_request = messages.PermitRequest(
            target, request_id, is_return=True
        )
        try:
            await self._call_owner(permit_request)
        except gossips.PeerFailed:
            self._fleet.metrics.count("models.permit_return_lost")

    async def _call_owner(
        self, permit_request: messages.PermitRequest
    ) -> bool:
        owner = self._owner(permit_request.target)
        if owner is None:
            return self.grant_or_return(permit_request)
        answer = await self._gossip.call(
            owner,
            "/peer/v1/suspects/permit",
            permit_request,
            messages.Accepted,
        )
        return answer.accepted

    def _owner(self, target: str) -> gossips.Peer | None:
        """Return the owner of a target, or None if it is this instance."""
        highest_hash = rendezvous_hash(target, self._fleet.instance)
        owner = None
        for peer in self._gossip.live():
            assert peer.heartbeat is not None
            peer_hash = rendezvous_hash(target, peer.heartbeat.instance)
            if peer_hash > highest_hash:
                highest_hash, owner = peer_hash, peer
        return owner


def rendezvous_hash(target: str, instance: str) -> bytes:
    """Return the rendezvous hash of an instance for a target.

    The live instance with the highest one owns the target.
    """
    return hashlib.sha256(f"{target}\n{instance}".encode()).digest()
