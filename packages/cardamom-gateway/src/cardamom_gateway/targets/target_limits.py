"""Limits that targets state on the requests of all instances together.

A target in need states in its answers how many requests a second it takes, or
that it is brittle: that it fails if it has to reject many for want of room.
One instance, the owner, counts for the whole fleet; every instance finds it
by rendezvous hashing and asks it for a permit before each request.  The cost
of a request thus doesn't depend on the number of instances, and a limit below
one request a second needs no division between them.

Instances tell each other what targets have stated, so that those which have
no answer of a target yet keep to its limit too.
"""

import dataclasses
import math
import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import rendezvous
from cardamom_policy import permits
from cardamom_policy import room as room_module

from cardamom_gateway.fleet import peers
from cardamom_gateway import model
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_registry

LOG = structlog.get_logger("cardamom.gateway.limits")

# Peers are told for this long that a target states no limit any more.
ENDED_RETENTION_MS = 5_000
# Buckets of targets that state no limit any more are dropped after this.
BUCKET_RETENTION_MS = 60_000
# Time after which there may be room again at a target.
ROOM_WAIT_MS = 30
# Requests may have been sent without permits after so long a time without any.
ROOM_IDLE_MS = 2_000
# Pause of a sender that doesn't know that a target's data centre is evacuated.
CLOSED_WAIT_MS = 1_000
# An instance counts for a cold target once it has been the target's owner for
# so long.  Until then others may still take an earlier one for the owner: a
# start reaches all instances within a second.
SETTLING_MS = 1_000
# Another owner may have been found while this instance didn't look for so
# long, for instance because its process was suspended.
MAX_OBSERVATION_GAP_MS = 1_000
# Wait for the owner of a cold target's permits to be found by all.
UNSETTLED_WAIT_MS = 100
# Instances that were not heard for so long, about two remote periods, may be
# on another side of a partition, which will count for itself.
MAX_HEARD_AGE_MS = 2_200
# Part of its share that an instance uses which can't know what is cold.
CUT_OFF_RATIO = 0.5
NOTHING: target_records.LimitValues = (None, None)


@dataclasses.dataclass(frozen=True)
class _View:
    """The instances that could own targets, from a time on."""

    since_ms: int
    candidates: frozenset[ids.InstanceId]


@dataclasses.dataclass
class _Owned:
    """What the owner of a target counts, with a room if it is brittle."""

    bucket: permits.PermitBucket
    used_ms: int
    room: room_module.Room | None = None
    room_used_ms: int = clocks.NEVER_MS


class TargetLimits:
    """The limits of all targets, and the permits of those owned here.

    ``base_update`` returns the fields that every message carries.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: clocks.Clock,
        targets: target_registry.TargetRegistry,
        link: peers.PeerLink,
        base_update: typing.Callable[[], peers.StateUpdate],
        is_stopping: typing.Callable[[], bool],
        is_store_reached: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._targets = targets
        self._link = link
        self._base_update = base_update
        self._is_stopping = is_stopping
        self._is_store_reached = is_store_reached
        self._owned_by_incarnation: dict[str, _Owned] = {}
        self._observed_ms: int = clocks.NEVER_MS
        self._views: list[_View] = []

    # What targets state.

    def note_answer(
        self, record: target_records.TargetRecord, answer: model.AnswerHead
    ) -> None:
        """Record what an answer of a target says of its limit."""
        record.has_answered = True
        if answer.malformed_limit is not None:
            self._report_malformed(record, answer.malformed_limit)
            return
        stated, previous = _stated(answer), record.limit
        if previous is None and stated == NOTHING:
            return
        record.limit = target_records.StatedLimit(
            *stated, self._clock.now_ms(), is_own=True
        )
        self._note_brittle(record)
        if previous is not None and previous.values == stated:
            return
        self._log_change(record, self._instance)
        self._link.broadcast(self._base_update() | {"t": self.export()})

    def _note_brittle(self, record: target_records.TargetRecord) -> None:
        limit = record.limit
        if limit is not None and limit.tolerated_rejections is not None:
            self._targets.brittle_services.note_stated(
                record.target.service, limit.at_ms
            )

    def _report_malformed(
        self, record: target_records.TargetRecord, value: str
    ) -> None:
        if record.malformed_limit == value:
            return
        record.malformed_limit = value
        LOG.warning(
            "limits: not usable", target=record.target.id, value=value[:80]
        )

    def _log_change(
        self, record: target_records.TargetRecord, source: str
    ) -> None:
        assert record.limit is not None
        LOG.info(
            "limits: stated",
            target=record.target.id,
            rate_per_s=record.limit.rate_per_s,
            tolerated_rejections=record.limit.tolerated_rejections,
            source=source,
        )

    def export(self) -> dict[str, typing.Any]:
        """Return what targets have stated to this instance, for peers."""
        now_ms = self._clock.now_ms()
        return {
            target_id: [
                record.target.started_ms,
                *record.limit.values,
                now_ms - record.limit.at_ms,
            ]
            for target_id, record in self._targets.by_id.items()
            if record.limit is not None
            and record.limit.is_own
            and (
                record.limit.is_stated
                or now_ms - record.limit.at_ms <= ENDED_RETENTION_MS
            )
        }

    def receive(self, update: peers.StateUpdate) -> None:
        """Apply what targets have stated to a peer.

        Raises KeyError, IndexError, TypeError or ValueError if it is
        malformed.
        """
        for target_id, fields in update.get("t", {}).items():
            record = self._targets.by_id.get(ids.TargetId(target_id))
            started_ms, rate_per_s, tolerated, age_ms = fields
            if record is None or record.target.started_ms != started_ms:
                continue
            stated = (
                None if rate_per_s is None else float(rate_per_s),
                None if tolerated is None else int(tolerated),
            )
            if not all(n is None or _is_amount(n) for n in stated):
                raise ValueError(f"limit of {target_id}: {fields!r}")
            at_ms = self._clock.now_ms() - int(age_ms)
            previous = record.limit
            if previous is not None and previous.at_ms >= at_ms:
                continue
            record.limit = target_records.StatedLimit(
                *stated, at_ms, is_own=False
            )
            self._note_brittle(record)
            if previous is None or previous.values != stated:
                self._log_change(record, str(update["n"]))

    # Permits.

    def take(
        self,
        request: permit_messages.PermitRequest,
        running: int | None = None,
    ) -> int:
        """Take a permit of a target; return 0, or the ms until there is one.

        The caller takes this instance for the owner, and has ``running``
        requests at the target, None if that isn't known.
        """
        now_ms = self._clock.now_ms()
        if self._is_closed(request.incarnation):
            return CLOSED_WAIT_MS
        cold = request.cold
        if cold is not None:
            self._observe(now_ms)
            if not self._is_settled_owner(request.incarnation, now_ms):
                return UNSETTLED_WAIT_MS
        self._drop_unused(now_ms)
        owned = self._owned_by_incarnation.setdefault(
            request.incarnation, _Owned(permits.PermitBucket(now_ms), now_ms)
        )
        owned.used_ms = now_ms
        if request.is_brittle and not self._take_room(
            owned, request, running, now_ms
        ):
            return ROOM_WAIT_MS
        if request.rate_per_s is None and cold is None:
            return 0
        wait_ms = owned.bucket.take(
            math.inf
            if request.rate_per_s is None
            else request.rate_per_s * self._share(),
            request.is_urgent,
            now_ms,
            cold and cold.scaled(self._cold_share(now_ms)),
        )
        if wait_ms > 0 and owned.room is not None:
            owned.room.finish(request.permit, False, now_ms)
        return wait_ms

    def _take_room(
        self,
        owned: _Owned,
        request: permit_messages.PermitRequest,
        running: int | None,
        now_ms: int,
    ) -> bool:
        """Count a request at a brittle target if there is room for it."""
        if owned.room is None:
            owned.room = room_module.Room(request.slots, now_ms)
        room = owned.room
        is_resumed = now_ms - owned.room_used_ms > ROOM_IDLE_MS
        owned.room_used_ms = now_ms
        if is_resumed:
            room.resume(self._running_by_sender(request.incarnation))
        elif room.has_uncounted:
            room.note_running(self._running_by_sender(request.incarnation))
        if room.has_uncounted and running is not None:
            room.note_sender(request.sender, running)
        return room.take(
            request.permit,
            request.is_urgent,
            now_ms + request.expires_in_ms,
            now_ms,
            self._share(),
        )

    # The count of requests in flight, and who has it.

    def is_counting(self, incarnation: str) -> bool:
        """Return whether this instance counts the requests at a target."""
        owned = self._owned_by_incarnation.get(incarnation)
        return owned is not None and owned.room is not None

    def begin_count(self, incarnation: str, count: room_module.Count) -> None:
        """Count the requests at a target, from what another has counted."""
        now_ms = self._clock.now_ms()
        owned = self._owned_by_incarnation.setdefault(
            incarnation, _Owned(permits.PermitBucket(now_ms), now_ms)
        )
        if owned.room is None:
            owned.room = room_module.Room.continued(count, now_ms)
        else:
            owned.room.merge(count, now_ms)
        owned.room_used_ms = now_ms

    def estimate_count(
        self, incarnation: str, slots: int
    ) -> room_module.Count:
        """Return the count of a target that nobody has counted yet.

        The requests that are under way there have no permits.
        """
        slots = max(1, slots)
        return room_module.Count(
            slots, slots, 0, [], self._running_by_sender(incarnation)
        )

    def give_up(self, incarnation: str) -> room_module.Count | None:
        """Stop counting at a target; return the count, None without one."""
        owned = self._owned_by_incarnation.get(incarnation)
        if owned is None or owned.room is None:
            return None
        count = owned.room.export(self._clock.now_ms())
        owned.room = None
        return count

    def counted_for_others(self) -> list[tuple[str, peers.Member]]:
        """Return the targets counted here that others own, and their owners.

        Returns none for SETTLING_MS after any change of owners.
        """
        now_ms = self._clock.now_ms()
        if not self._views or self._views[0].since_ms > now_ms - SETTLING_MS:
            return []
        owners = [
            (incarnation, self.owner(incarnation))
            for incarnation, owned in self._owned_by_incarnation.items()
            if owned.room is not None
        ]
        return [(i, owner) for i, owner in owners if owner is not None]

    def previous_owner(self, incarnation: str) -> peers.Member | None:
        """Return the owner of a target if this instance weren't there.

        Instances that are stopping count, as they may have been the owner.
        """
        member_by_id = {
            peer.member.id: peer.member for peer in self._link.fresh_peers()
        }
        if not member_by_id:
            return None
        return member_by_id[rendezvous.owners(incarnation, member_by_id)[0]]

    def is_stopping_peer(self, instance: ids.InstanceId) -> bool:
        """Return whether another instance says that it is stopping."""
        peer = self._link.peer_by_id.get(instance)
        return peer is not None and bool(peer.update.get("st"))

    def _running_by_sender(self, incarnation: str) -> dict[str, int]:
        """Return the requests at a target as all instances report them."""
        record = self._targets.by_id.get(_target_of(incarnation))
        if record is None or record.target.incarnation != incarnation:
            return {}
        return {
            sender.partition("@")[0]: running
            for sender, running in record.running_by_peer(
                self._clock.now_ms()
            ).items()
        } | {self._instance: record.load.running}

    def _is_closed(self, incarnation: str) -> bool:
        """Return whether a target is in an evacuated data centre.

        The sender may not know of the evacuation yet.
        """
        record = self._targets.by_id.get(_target_of(incarnation))
        return record is not None and self._targets.is_closed(record.target)

    def finish(self, end: permit_messages.PermitEnd) -> None:
        """Record the end of a request at a target that is brittle."""
        owned = self._owned_by_incarnation.get(end.incarnation)
        if owned is None or owned.room is None:
            return
        owned.room.finish(end.permit, end.was_rejected, self._clock.now_ms())
        if end.was_rejected:
            LOG.info(
                "limits: rejected",
                target=end.incarnation,
                bound=owned.room.bound,
            )

    def _drop_unused(self, now_ms: int) -> None:
        self._owned_by_incarnation = {
            incarnation: owned
            for incarnation, owned in self._owned_by_incarnation.items()
            if now_ms - owned.used_ms <= BUCKET_RETENTION_MS
        }

    def owner(self, incarnation: str) -> peers.Member | None:
        """Return the owner of a target's permits, None for this instance."""
        member_by_id = self._member_by_id()
        candidates = self._candidates(member_by_id)
        owner = rendezvous.owners(incarnation, candidates)[0]
        return member_by_id.get(owner)

    def _member_by_id(self) -> dict[ids.InstanceId, peers.Member]:
        """Return the other instances that may own targets."""
        return {
            peer.member.id: peer.member
            for peer in self._link.fresh_peers()
            if not peer.update.get("st")
        }

    def _candidates(
        self, others: typing.Iterable[ids.InstanceId]
    ) -> list[ids.InstanceId]:
        candidates = list(others)
        if not self._is_stopping() or not candidates:
            candidates.append(self._instance)
        return candidates

    async def observe(self) -> None:
        """Note who may own targets, and whether this instance is cut off.

        It is cut off if it hears no other instance and doesn't reach the
        store, so that it can't know which targets are cold.
        """
        self._observe(self._clock.now_ms())
        rules = self._targets.cold_rules
        is_cut_off = not self._is_store_reached() and not (
            self._link.fresh_peers()
        )
        if is_cut_off is not rules.is_cut_off and rules.by_service:
            LOG.warning(
                "limits: cut off",
                is_cut_off=is_cut_off,
                services=sorted(rules.by_service),
            )
        rules.is_cut_off = is_cut_off

    def _observe(self, now_ms: int) -> None:
        if now_ms - self._observed_ms > MAX_OBSERVATION_GAP_MS:
            self._views = []
        self._observed_ms = now_ms
        candidates = frozenset(self._candidates(self._member_by_id()))
        if not self._views or self._views[-1].candidates != candidates:
            self._views.append(_View(now_ms, candidates))
        while (
            len(self._views) > 1
            and self._views[1].since_ms <= now_ms - SETTLING_MS
        ):
            self._views.pop(0)

    def _is_settled_owner(self, incarnation: str, now_ms: int) -> bool:
        """Return whether this instance has owned a target for SETTLING_MS."""
        return self._views[0].since_ms <= now_ms - SETTLING_MS and all(
            rendezvous.owners(incarnation, view.candidates)[0]
            == self._instance
            for view in self._views
        )

    def _cold_share(self, now_ms: int) -> float:
        """Return the part of a cold target's bound that may be used here.

        Unlike stated limits, the parts of all sides of a partition add up to
        the bound, since a target above it crashes.
        """
        heard = sum(
            now_ms - peer.received_ms <= MAX_HEARD_AGE_MS
            for peer in self._link.fresh_peers()
        )
        known = max(heard, len(self._link.member_by_id)) + 1
        ratio = CUT_OFF_RATIO if self._targets.cold_rules.is_cut_off else 1.0
        return ratio * (heard + 1) / known

    def _share(self) -> float:
        """Return the part of a limit that this side of a partition may use.

        Only one side can have more than half of all instances.
        """
        reached = len(self._link.fresh_peers()) + 1
        known = len(self._link.member_by_id) + 1
        return 1.0 if 2 * reached > known else reached / known


def _target_of(incarnation: str) -> ids.TargetId:
    return ids.TargetId(incarnation.rpartition("@")[0])


def _stated(answer: model.AnswerHead) -> target_records.LimitValues:
    return answer.rate_limit_per_s, answer.tolerated_rejections


def _is_amount(value: float) -> bool:
    return math.isfinite(value) and value >= 0
