"""Operators' changes: written to the table, then watched until in force."""

import dataclasses
import typing

import structlog

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import keyring
from cardamom_daemon import messages
from cardamom_daemon import table_sync
from cardamom_kernel import freshness
from cardamom_kernel import ids
from cardamom_kernel import outcomes
from cardamom_kernel import rosters
from cardamom_kernel import tables

LOG = structlog.get_logger("cardamom.changes")

MAX_WRITE_ATTEMPTS = 5
IN_FORCE_WAIT_MS = 12_000
WITHDRAW_WAIT_MS = 4_500
CHECK_INTERVAL_MS = 100
MAX_APPLY_HISTORY = 50

Json = dict[str, typing.Any]
Body = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class WriteResult:
    """A document's version and body after a write."""

    version: int
    body: Body


class Changes:
    """Carries out operators' changes at this instance.

    Each method returns a JSON object, or raises outcomes.RequestRefused if the
    change is not valid or the table gives no answer.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        gossip: gossips.Gossip,
        sync: table_sync.TableSync,
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._sync = sync

    async def apply(
        self,
        configuration: Json,
        based_on: int,
        apply_id: str,
    ) -> Json:
        """Accept a configuration and wait until it is in force.

        Raises outcomes.RequestRefused if another apply came first, which the
        message names, or if the table gives no answer.
        """

        def change(body: Body, version: int) -> Body | None:
            applies = list(body.get("applies", ()))
            if any(entry["id"] == apply_id for entry in applies):
                return None
            if version != based_on:
                raise outcomes.RequestRefused(
                    _version_conflict(based_on, version, applies)
                )
            applies.append({"id": apply_id, "version": version + 1})
            return {
                "configuration": configuration,
                "applies": applies[-MAX_APPLY_HISTORY:],
            }

        result = await self._edit(fleets.CONFIG, change)
        version = next(
            entry["version"]
            for entry in result.body["applies"]
            if entry["id"] == apply_id
        )
        LOG.info("changes: configuration accepted", version=version)
        return await self._until_in_force(fleets.CONFIG, version)

    async def create_key(self, team: ids.TeamId, label: str) -> Json:
        """Create a key; the result is the only place that shows the key."""
        if team not in self._fleet.catalog.configuration.teams:
            raise outcomes.RequestRefused(
                _refusal(
                    outcomes.Code.NOT_FOUND,
                    f"team: {team!r} is not configured",
                )
            )
        key, record = keyring.make_key(team, label)

        def change(body: Body, version: int) -> Body | None:
            keys = list(body.get("keys", ()))
            if any(item["id"] == record.id for item in keys):
                return None
            return {"keys": [*keys, dataclasses.asdict(record)]}

        result = await self._edit(fleets.KEYS, change)
        LOG.info("changes: key created", key_id=record.id, team=team)
        in_force = await self._until_in_force(fleets.KEYS, result.version)
        return {"key": key, "id": record.id, "team": team, **in_force}

    async def withdraw_key(self, key: ids.KeyId) -> Json:
        """Withdraw a key at all instances and return the progress.

        A withdrawal is in force once every instance that doesn't know it has
        become stale and so can't act on the key.
        """
        fleet = self._fleet
        started_ms = fleet.clock.now_ms()
        key_ids = {record.id for record in fleet.keyring.records()}
        if key not in key_ids and key not in fleet.withdrawn:
            raise outcomes.RequestRefused(
                _refusal(
                    outcomes.Code.NOT_FOUND,
                    f"key: {key!r} is not known; see cardamomctl key list",
                )
            )
        fleet.withdraw([key])
        state = await self._publish_withdrawal(started_ms)
        durable = not fleet.withdrawn.pending()
        LOG.info(
            "changes: key withdrawn",
            key_id=key,
            in_force=state["in_force"],
            durable=durable,
        )
        return {"id": key, "durable": durable, **state}

    async def drain_target(self, target: str, is_draining: bool) -> Json:
        """Stop giving new work to a target, or resume it."""
        if target not in self._fleet.catalog.configuration.targets:
            raise outcomes.RequestRefused(
                _refusal(
                    outcomes.Code.NOT_FOUND,
                    f"target: {target!r} is not configured",
                )
            )

        def change(body: Body, version: int) -> Body | None:
            targets = set(body.get("targets", ()))
            if (target in targets) is is_draining:
                return None
            return {"targets": sorted(targets ^ {target})}

        result = await self._edit(fleets.DRAINS, change)
        in_force = await self._until_in_force(fleets.DRAINS, result.version)
        return {"target": target, "draining": is_draining, **in_force}

    async def _edit(
        self,
        name: str,
        change: typing.Callable[[Body, int], Body | None],
    ) -> WriteResult:
        """Change a document in the table.

        ``change`` takes a body and a version, and returns the new body, or
        None if the body holds the change already. After an unknown outcome
        the document is read again, and written unless it holds the change.
        Raises outcomes.RequestRefused if the table gives no answer.
        """
        may_have_taken_effect = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not await self._sync.poll():
                break
            document = self._fleet.documents.get(name)
            version = document.version if document else 0
            body: Body = document.body if document else {}
            changed = change(body, version)
            if changed is None:
                return WriteResult(version, body)
            state = await self._sync.write_document(name, changed, version)
            if state is tables.CommitState.COMMITTED:
                return WriteResult(version + 1, changed)
            if state is tables.CommitState.UNKNOWN:
                may_have_taken_effect = True
        raise outcomes.RequestRefused(
            _table_unavailable(may_have_taken_effect)
        )

    async def _until_in_force(self, name: str, version: int) -> Json:
        """Wait until every live instance holds a document's version.

        Waits for IN_FORCE_WAIT_MS at most and returns the state then.
        """
        clock = self._fleet.clock
        start_ms = clock.now_ms()
        while True:
            behind = [
                peer.heartbeat.instance
                for peer in self._gossip.live()
                if peer.heartbeat
                and peer.heartbeat.version_by_document.get(name, 0) < version
            ]
            instances = len(self._gossip.live()) + 1
            waited_ms = clock.now_ms() - start_ms
            if not behind or waited_ms >= IN_FORCE_WAIT_MS:
                return {
                    "version": version,
                    "in_force": not behind,
                    "instances": instances,
                    "behind": behind,
                    "waited_ms": waited_ms,
                }
            await clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _publish_withdrawal(self, started_ms: int) -> Json:
        """Send the withdrawals to peers and table until they are in force.

        Waits for WITHDRAW_WAIT_MS at most. Once the table has the
        withdrawals, a smaller quorum of seats is enough, since an instance
        that is fresh through the table has read them.
        """
        fleet = self._fleet
        acknowledged: set[str] = {fleet.instance}
        enforcement_delay = freshness.EnforcementDelay(
            fleet.clock,
            fleet.settings.freshness_ms,
        )
        while True:
            message = messages.Withdrawals(fleet.withdrawn.members())
            acknowledged |= set(
                await self._gossip.send_to_all("/peer/v1/withdrawn", message)
            )
            durable = await self._sync.write_withdrawals()
            is_quorum = self._is_quorum(acknowledged, durable)
            is_enforced = enforcement_delay.update(is_quorum)
            in_force = is_enforced or self._is_acknowledged_by_all(
                acknowledged
            )
            waited_ms = fleet.clock.now_ms() - started_ms
            if in_force or waited_ms >= WITHDRAW_WAIT_MS:
                return {
                    "in_force": in_force,
                    "acknowledged": sorted(acknowledged),
                    "waited_ms": waited_ms,
                }
            await fleet.clock.sleep_ms(CHECK_INTERVAL_MS)

    def _is_acknowledged_by_all(self, acknowledged: set[str]) -> bool:
        """Tell whether all seat holders and live instances acknowledged."""
        holders = {seat.holder for seat in self._fleet.seats()}
        live = {
            peer.heartbeat.instance
            for peer in self._gossip.live()
            if peer.heartbeat
        }
        return (holders | live) <= acknowledged

    def _is_quorum(self, acknowledged: set[str], durable: bool) -> bool:
        """Tell whether a quorum of seats acknowledged the withdrawal."""
        roster = self._fleet.roster
        acknowledged_seats = {
            seat.id
            for seat in self._fleet.seats()
            if seat.holder in acknowledged
        }
        return roster is not None and rosters.is_acknowledged(
            roster,
            acknowledged_seats,
            durable,
        )


def _refusal(code: outcomes.Code, message: str) -> outcomes.Refusal:
    return outcomes.Refusal(code, message, outcomes.Step.OPERATE, not_run=True)


def _table_unavailable(may_have_taken_effect: bool) -> outcomes.Refusal:
    message = "the table cannot be reached; nothing was changed"
    if may_have_taken_effect:
        message = (
            "the table gave no answer; the change may have been accepted: "
            "read the status before you repeat it"
        )
    return outcomes.Refusal(
        outcomes.Code.UNAVAILABLE,
        message,
        outcomes.Step.OPERATE,
        not_run=not may_have_taken_effect,
        retry_after_ms=CHECK_INTERVAL_MS * 10,
    )


def _version_conflict(
    based_on: int,
    version: int,
    applies: list[Json],
) -> outcomes.Refusal:
    winner = applies[-1]["id"] if applies else "nobody"
    return outcomes.Refusal(
        outcomes.Code.CONFLICT,
        f"the configuration is at version {version}, written by apply "
        f"{winner}, not at {based_on}; run diff and apply again",
        outcomes.Step.CONFIGURE,
        not_run=True,
    )
