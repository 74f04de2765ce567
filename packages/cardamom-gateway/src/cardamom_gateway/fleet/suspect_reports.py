"""Exchange of what is suspected of crashing targets.

That is a whole request, or a part that many prompts share; each is known by a
fingerprint.  Whatever was in flight when its target crashed is a suspect, so
one crash makes many, nearly all of them harmless.  The crashes of a suspect
are added up by its owners, which every instance finds by rendezvous hashing.
The owners tell all instances only of a suspect that has to be refused.  The
cost of a crash thus depends on neither the number of instances nor the number
of suspects that they know.
"""

import asyncio
import collections
import dataclasses
import enum
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import rendezvous
from cardamom_kernel import suspicion

from cardamom_gateway.fleet import peers

LOG = structlog.get_logger("cardamom.gateway.suspects")

OWNERS = 2  # one may be down, or know other members
# An instance that has been silent for longer owns nothing.
MAX_OWNER_SILENCE_MS = 15_000
SENDS = 3  # of each report, as datagrams may be lost
SEND_PERIOD_MS = 200
MAX_REPORTS_PER_MESSAGE = 50  # about 4 KB
MAX_PENDING = 2_000


@dataclasses.dataclass(frozen=True)
class Suspected:
    """What is suspected, and the keys of its reports in a message."""

    name: str
    crashes_key: str
    cleared_key: str


REQUESTS = Suspected("request", "s", "sc")
PROMPT_PARTS = Suspected("prompt part", "b", "bc")


class Topic(enum.Enum):
    """What a pending message tells of a suspect."""

    CRASHES = "crashes"
    CLEARED = "cleared"


@dataclasses.dataclass
class _Pending:
    """A message that is still to be sent ``remaining`` times."""

    topic: Topic
    remaining: int = SENDS


class SuspectReports:
    """Sends reports of suspects, and adds up those that it owns.

    ``base_update`` returns the fields that every message carries.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: clocks.Clock,
        suspicions: suspicion.Suspicions,
        link: peers.PeerLink,
        base_update: typing.Callable[[], peers.StateUpdate],
        suspected: Suspected = REQUESTS,
    ) -> None:
        self._suspected = suspected
        self._instance = instance
        self._clock = clock
        self._suspicions = suspicions
        self._link = link
        self._base_update = base_update
        self._pending_by_recipient: collections.defaultdict[
            ids.InstanceId, dict[str, _Pending]
        ] = collections.defaultdict(dict)
        self._incarnation_by_peer: dict[ids.InstanceId, str] = {}
        self._refused: set[str] = set()
        self._has_pending = asyncio.Event()
        suspicions.on_counted_again = self.note_crash

    def note_crash(self, fingerprint: str) -> None:
        """Report a suspect's crashes that were recorded here."""
        self._tell_owners(fingerprint, Topic.CRASHES)
        self._announce_if_refused(fingerprint)

    def note_cleared(self, fingerprint: str) -> None:
        """Report that a suspect has finished without a crash."""
        self._tell_owners(fingerprint, Topic.CLEARED)

    def note_finished(self, fingerprint: str) -> None:
        """Record that an answer has finished, and report it if it matters."""
        was_refused = self._suspicions.is_refused(fingerprint)
        if not self._suspicions.clear(fingerprint):
            return
        self._tell_owners(fingerprint, Topic.CLEARED)
        if was_refused:
            self._tell_all(fingerprint, Topic.CLEARED)

    def is_first_owner(self, fingerprint: str) -> bool:
        """Return whether this instance alone decides on trials."""
        return self._owners(fingerprint)[0] == self._instance

    def receive(self, incarnation: str, update: peers.StateUpdate) -> None:
        """Apply the reports of a peer's message.

        Raises KeyError, IndexError, TypeError or ValueError if they are
        malformed.
        """
        peer = ids.InstanceId(update["n"])
        self._greet(peer, incarnation)
        for fingerprint in update.get(self._suspected.cleared_key, ()):
            self._receive_cleared(str(fingerprint))
        reports = [
            suspicion.SuspectReport(fields[0], tuple(fields[1]), fields[2])
            for fields in update.get(self._suspected.crashes_key, ())
        ]
        self._suspicions.merge(reports)
        for report in reports:
            if self._suspicions.is_sound(report.fingerprint):
                self._add(peer, report.fingerprint, Topic.CLEARED)
            self._announce_if_refused(report.fingerprint)
            known = self._suspicions.report(report.fingerprint)
            if known is not None and known.losses != report.losses:
                self._answer(peer, known)

    def _receive_cleared(self, fingerprint: str) -> None:
        was_refused = self._suspicions.is_refused(fingerprint)
        if self._suspicions.clear(fingerprint) and was_refused:
            LOG.warning(
                "suspects: no longer refused",
                suspected=self._suspected.name,
                request=fingerprint,
            )
            if self._is_owner(fingerprint):
                self._tell_all(fingerprint, Topic.CLEARED)

    async def run(self) -> None:
        """Send pending reports until cancelled."""
        while True:
            await self._has_pending.wait()
            self.send_pending()
            await self._clock.sleep_ms(SEND_PERIOD_MS)

    def send_pending(self) -> None:
        """Send each pending report once."""
        for recipient in list(self._pending_by_recipient):
            pending_by_fingerprint = self._pending_by_recipient[recipient]
            self._send(recipient, pending_by_fingerprint)
            for fingerprint, pending in list(pending_by_fingerprint.items()):
                pending.remaining -= 1
                if pending.remaining <= 0:
                    del pending_by_fingerprint[fingerprint]
            if not pending_by_fingerprint:
                del self._pending_by_recipient[recipient]
        if not self._pending_by_recipient:
            self._has_pending.clear()

    def _send(
        self,
        recipient: ids.InstanceId,
        pending_by_fingerprint: typing.Mapping[str, _Pending],
    ) -> None:
        member = self._link.member_by_id.get(recipient)
        if member is None:
            return
        for batch in peers.batched(
            pending_by_fingerprint, MAX_REPORTS_PER_MESSAGE
        ):
            reports = [
                report
                for fingerprint in batch
                if (report := self._suspicions.report(fingerprint))
            ]
            update = self._base_update()
            update[self._suspected.crashes_key] = [
                [report.fingerprint, list(report.losses), report.age_ms]
                for report in reports
            ]
            update[self._suspected.cleared_key] = [
                fingerprint
                for fingerprint in batch
                if pending_by_fingerprint[fingerprint].topic is Topic.CLEARED
            ]
            self._link.send([member], update)

    def _greet(self, peer: ids.InstanceId, incarnation: str) -> None:
        """Tell a peer that has just started of the refused suspects."""
        if self._incarnation_by_peer.get(peer) == incarnation:
            return
        self._incarnation_by_peer[peer] = incarnation
        for report in self._suspicions.refused():
            if self._is_owner(report.fingerprint, besides=peer):
                self._add(peer, report.fingerprint, Topic.CRASHES)

    def _answer(
        self, peer: ids.InstanceId, known: suspicion.SuspectReport
    ) -> None:
        """Tell a peer that has reported a suspect that it is refused."""
        if self._suspicions.is_refused(known.fingerprint):
            self._add(peer, known.fingerprint, Topic.CRASHES)

    def _announce_if_refused(self, fingerprint: str) -> None:
        """Tell all instances of a suspect that has just become refused."""
        is_refused = self._suspicions.is_refused
        if not is_refused(fingerprint):
            self._refused.discard(fingerprint)
            return
        if fingerprint in self._refused:
            return
        self._refused = {*filter(is_refused, self._refused), fingerprint}
        LOG.warning(
            "suspects: refused",
            suspected=self._suspected.name,
            request=fingerprint,
        )
        if self._is_owner(fingerprint):
            self._tell_all(fingerprint, Topic.CRASHES)

    def _tell_all(self, fingerprint: str, topic: Topic) -> None:
        for recipient in self._link.member_by_id:
            self._add(recipient, fingerprint, topic)

    def _tell_owners(self, fingerprint: str, topic: Topic) -> None:
        for owner in self._owners(fingerprint):
            if owner != self._instance:
                self._add(owner, fingerprint, topic)

    def _add(
        self, recipient: ids.InstanceId, fingerprint: str, topic: Topic
    ) -> None:
        pending_by_fingerprint = self._pending_by_recipient[recipient]
        pending_by_fingerprint[fingerprint] = _Pending(topic)
        if len(pending_by_fingerprint) > MAX_PENDING:
            dropped = next(iter(pending_by_fingerprint))
            del pending_by_fingerprint[dropped]
            LOG.warning(
                "suspects: report dropped",
                suspected=self._suspected.name,
                request=dropped,
            )
        self._has_pending.set()

    def _is_owner(
        self, fingerprint: str, besides: ids.InstanceId | None = None
    ) -> bool:
        """Return whether this instance is an owner, apart from another."""
        owners = self._owners(fingerprint, besides)
        return self._instance in owners

    def _owners(
        self, fingerprint: str, besides: ids.InstanceId | None = None
    ) -> list[ids.InstanceId]:
        now_ms = self._clock.now_ms()
        candidates = [
            peer.member.id
            for peer in self._link.peer_by_id.values()
            if now_ms - peer.received_ms <= MAX_OWNER_SILENCE_MS
            and peer.member.id != besides
        ]
        return rendezvous.owners(
            fingerprint, [*candidates, self._instance], OWNERS
        )
