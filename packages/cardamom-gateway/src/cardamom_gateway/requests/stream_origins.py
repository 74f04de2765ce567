"""The software version that began each stream, for callers that resume it.

What two software versions of a service write doesn't fit together, and a
caller may resume its stream at any instance.  The instance that relays the
first event of a stream therefore reports its origin, before the event, to the
stream's owners, which every instance finds by rendezvous hashing.  The
instance at which the caller resumes asks the owners.

Origins are reported only while a service has more than one version.  Without
a report the origin is still known if all targets of the last
``RETENTION_MS`` had one version; otherwise it is unknown.  So that this holds
after a restart of all instances, the lease holder stores the versions, and
streams begin at another version only once it is stored.  An instance that
can't ask all of these instances reads the stored versions, as it may not have
heard of the latest one.
"""

import asyncio
import collections
import dataclasses
import itertools
import typing

import orjson
import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import rendezvous

from cardamom_gateway.fleet import peers
from cardamom_gateway import model
from cardamom_gateway.store import shared_reads
from cardamom_gateway.targets import target_registry

LOG = structlog.get_logger("cardamom.gateway.streams")

# Number of instances that keep an origin; several may be killed together.
OWNERS = 3
# Instances that are asked: the owners may have changed since the report, and
# in a small fleet the instance that began the stream is among these.
ASKED_OWNERS = 8
# An instance that has been silent for longer owns nothing.
MAX_OWNER_SILENCE_MS = 15_000
# Longer than callers wait for a stream over all their tries.
RETENTION_MS = target_registry.SOFTWARE_RETENTION_MS
# Streams begin at a version that can't be stored after this time.
MAX_UNSTORED_MS = 2_000
MAX_RECORDS = 50_000
MAX_ORIGINS_PER_MESSAGE = 100  # about 3 KB


@dataclasses.dataclass(frozen=True)
class Origin:
    """The service whose target began a stream, and its software version."""

    service: model.ServiceId
    software_version: str


VersionsByService = typing.Mapping[model.ServiceId, frozenset[str]]


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What an instance knows of the origin of a stream.

    ``versions`` are those that the service's targets had in the last
    RETENTION_MS; ``is_complete`` is whether none of them can be missing.
    """

    origin: Origin | None
    versions: frozenset[str]
    is_complete: bool

    def only_origin(self, service: model.ServiceId) -> Origin | None:
        """Return the origin, or the only one possible, else None."""
        if self.origin is not None:
            return self.origin
        if not self.is_complete or len(self.versions) != 1:
            return None
        return Origin(service, *self.versions)


Answer = Knowledge | None
Question = typing.Callable[
    [peers.Member, ids.AttemptId, model.ServiceId],
    typing.Coroutine[typing.Any, typing.Any, Answer],
]


@dataclasses.dataclass(frozen=True)
class _Record:
    origin: Origin
    at_ms: int


class StreamOrigins:
    """Reports and finds the origins of streams.

    ``base_update`` returns the fields that every message carries.
    ``read_stored`` reads the stored versions; it returns None if the store
    can't be read, and no version without the row.
    ``stored_versions_by_service`` are the versions of the last RETENTION_MS
    as a lease holder stored them, None before the row has been read, and
    ``is_stored`` whether the store still has that row.  ``is_first_start`` is
    whether no version can have served before this instance started.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: clocks.Clock,
        targets: target_registry.TargetRegistry,
        link: peers.PeerLink,
        base_update: typing.Callable[[], peers.StateUpdate],
        read_stored: typing.Callable[
            [], typing.Awaitable[VersionsByService | None]
        ],
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._instance = instance
        self._clock = clock
        self._targets = targets
        self._link = link
        self._base_update = base_update
        self._stored_now = shared_reads.SharedRead(read_stored)
        self._started_ms = clock.now_ms()
        self._record_by_attempt: dict[ids.AttemptId, _Record] = {}
        self.stored_versions_by_service: VersionsByService | None = None
        self.is_stored = True

    def note_begun(self, attempt: ids.AttemptId, origin: Origin) -> None:
        """Record a stream whose first event is about to be relayed."""
        self._record(attempt, origin)
        if attempt and not self._is_only_version(origin.service):
            self._report([attempt])

    def _is_only_version(self, service: model.ServiceId) -> bool:
        """Return whether a restart of all leaves no doubt of the version."""
        stored = self.stored_versions_by_service
        return stored is not None and len(self._versions(service)) == 1

    def may_begin(self, target: model.Target) -> bool:
        """Return whether streams may begin at a target's software version.

        A version that isn't stored would be unknown after a restart of all
        instances.
        """
        stored = self.stored_versions_by_service
        return (
            stored is None
            or target.software_version in stored.get(target.service, ())
            or self._targets.software_age_ms(target) >= MAX_UNSTORED_MS
        )

    def report_all(self, service: model.ServiceId) -> None:
        """Report the streams of a service that has got another version."""
        self._report(
            [
                attempt
                for attempt, record in self._record_by_attempt.items()
                if record.origin.service == service
            ]
        )

    def receive(self, update: peers.StateUpdate) -> None:
        """Record the origins that a peer reports.

        Raises TypeError or ValueError if they are malformed.
        """
        for service, version, attempts in update.get("v", ()):
            for attempt in attempts:
                self._record(
                    ids.AttemptId(str(attempt)),
                    Origin(model.ServiceId(str(service)), str(version)),
                )

    def knowledge(
        self, attempt: ids.AttemptId, service: model.ServiceId
    ) -> Knowledge:
        """Return what this instance knows of a stream's origin."""
        record = self._record_by_attempt.get(attempt)
        return Knowledge(
            record.origin if record else None,
            self._versions(service),
            self._is_settled() or self.stored_versions_by_service is not None,
        )

    def versions_to_store(self) -> VersionsByService | None:
        """Return the versions to be stored, None if the row is current.

        An instance that may not know all recent versions stores none, as the
        row would hide the others.
        """
        if not (
            self._is_settled()
            or self._is_first_start
            or self.stored_versions_by_service is not None
        ):
            return None
        versions = {
            service: self._targets.recent_software(service)
            if self._is_settled()
            else self._versions(service)
            for service in self._targets.services()
        }
        is_current = versions == self.stored_versions_by_service
        if not versions or (is_current and self.is_stored):
            return None
        return versions

    async def find(
        self,
        attempt: ids.AttemptId,
        service: model.ServiceId,
        ask: Question,
    ) -> Origin | None:
        """Return the origin of a stream, None if it can't be known.

        ``service`` is the one that the request would be sent to.
        """
        own = self.knowledge(attempt, service)
        if own.origin is not None:
            return own.origin
        owners = self._owners(attempt, ASKED_OWNERS)
        answers = await _answers(
            [ask(member, attempt, service) for member in owners]
        )
        merged = _merge([own, *answers])
        if merged.origin is None and (
            len(answers) < len(owners) or self._silent()
        ):
            merged = await self._confirm(merged, service, len(answers))
        origin = merged.only_origin(service)
        LOG.info(
            "streams: origin",
            resumes=attempt,
            software=origin.software_version if origin else None,
            versions=sorted(merged.versions),
            is_complete=merged.is_complete,
            asked=len(owners),
            answers=len(answers),
        )
        if origin is not None:
            self._record(attempt, origin)
        return origin

    async def _confirm(
        self, known: Knowledge, service: model.ServiceId, answers: int
    ) -> Knowledge:
        """Return what is known with the versions that the store has now.

        Without the store, the answers of most instances are needed.
        """
        stored = await self._stored_now.get()
        if stored is None:
            is_complete = known.is_complete and self._are_most(answers)
            return dataclasses.replace(known, is_complete=is_complete)
        return Knowledge(
            None,
            known.versions | stored.get(service, frozenset()),
            is_complete=service in stored,
        )

    def _are_most(self, answers: int) -> bool:
        """Return whether so many answers are half of those to be expected."""
        expected = min(ASKED_OWNERS, len(self._link.member_by_id))
        return 2 * answers >= expected

    def _is_settled(self) -> bool:
        """Return whether this instance has seen all recent versions."""
        return self._clock.now_ms() - self._started_ms >= RETENTION_MS

    def _versions(self, service: model.ServiceId) -> frozenset[str]:
        stored = self.stored_versions_by_service or {}
        return self._targets.recent_software(service) | stored.get(
            service, frozenset()
        )

    def _record(self, attempt: ids.AttemptId, origin: Origin) -> None:
        if not attempt:
            return  # streams without an id can't be told apart
        now_ms = self._clock.now_ms()
        self._record_by_attempt.pop(attempt, None)
        self._record_by_attempt[attempt] = _Record(origin, now_ms)
        while self._record_by_attempt:
            oldest = next(iter(self._record_by_attempt))
            age_ms = now_ms - self._record_by_attempt[oldest].at_ms
            if (
                age_ms <= RETENTION_MS
                and len(self._record_by_attempt) <= MAX_RECORDS
            ):
                return
            del self._record_by_attempt[oldest]

    def _report(self, attempts: typing.Iterable[ids.AttemptId]) -> None:
        attempts_by_owner = collections.defaultdict(list)
        member_by_id = {}
        for attempt in attempts:
            for member in self._owners(attempt, OWNERS):
                member_by_id[member.id] = member
                attempts_by_owner[member.id].append(attempt)
        for owner, owned in attempts_by_owner.items():
            for batch in peers.batched(owned, MAX_ORIGINS_PER_MESSAGE):
                self._link.send([member_by_id[owner]], self._update(batch))

    def _update(
        self, attempts: typing.Iterable[ids.AttemptId]
    ) -> peers.StateUpdate:
        attempts_by_origin = collections.defaultdict(list)
        for attempt in attempts:
            origin = self._record_by_attempt[attempt].origin
            attempts_by_origin[origin].append(attempt)
        return self._base_update() | {
            "v": [
                [origin.service, origin.software_version, same_origin]
                for origin, same_origin in attempts_by_origin.items()
            ]
        }

    def _owners(
        self, attempt: ids.AttemptId, count: int
    ) -> list[peers.Member]:
        """Return the other instances among the owners of a stream."""
        members, silent = self._link.member_by_id, self._silent()
        owners = rendezvous.owners(
            attempt,
            [m for m in members if m not in silent] + [self._instance],
            count,
        )
        return [members[owner] for owner in owners if owner in members]

    def _silent(self) -> set[ids.InstanceId]:
        """Return the members that own nothing, as they aren't heard of."""
        now_ms, peer_by_id = self._clock.now_ms(), self._link.peer_by_id
        return {
            member
            for member in self._link.member_by_id
            if member in peer_by_id
            and now_ms - peer_by_id[member].received_ms > MAX_OWNER_SILENCE_MS
        }


def _merge(known: typing.Sequence[Knowledge]) -> Knowledge:
    """Return what several instances know; the last one may have the origin."""
    return Knowledge(
        known[-1].origin,
        frozenset(itertools.chain.from_iterable(k.versions for k in known)),
        any(k.is_complete for k in known),
    )


async def _answers(
    questions: list[typing.Coroutine[typing.Any, typing.Any, Answer]],
) -> list[Knowledge]:
    """Return the answers up to the first one that has the origin."""
    tasks = [asyncio.ensure_future(question) for question in questions]
    answers: list[Knowledge] = []
    try:
        for next_answer in asyncio.as_completed(tasks):
            answer = await next_answer
            if answer is not None:
                answers.append(answer)
            if answer is not None and answer.origin is not None:
                break
    finally:
        for task in tasks:
            task.cancel()
    return answers


def encode_versions(
    versions_by_service: VersionsByService,
) -> dict[str, typing.Any]:
    """Return the JSON fields of the row that stores the versions."""
    return {
        service: sorted(versions)
        for service, versions in versions_by_service.items()
    }


def decode_versions(value: bytes) -> VersionsByService:
    """Decode the row that stores the versions.

    Raises ValueError or TypeError if it is malformed.
    """
    return versions_of_row(orjson.loads(value))


def versions_of_row(row: typing.Any) -> VersionsByService:
    """Return the versions in the fields of the row, as ``decode_versions``."""
    if not isinstance(row, dict):
        raise ValueError(f"stored versions: {row!r} is not an object")
    return {
        model.ServiceId(service): frozenset(map(str, versions))
        for service, versions in row.items()
    }
