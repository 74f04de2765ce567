"""At-most-once execution by a claim in the table before the first byte.

A claim is a row under the caller's idempotency key.  Only the attempt whose
insert took effect may run, and no other attempt ever takes a claim over.
An insert whose answer was lost is resolved by reading the row back.
"""

import dataclasses
import enum
import hashlib
import typing

from cardamom_kernel import ids
from cardamom_kernel import tables

CLAIM_TRIES = 3


class ClaimState(enum.Enum):
    """The life of a claim; the value is stored in its row."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Verdict(enum.Enum):
    """What a caller's attempt may do next."""

    GRANTED = "granted"
    ANSWERED = "answered"
    RUNNING = "running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One caller's call, as one instance tries to run it."""

    id: ids.AttemptId
    team: ids.TeamId
    idempotency_key: str
    body_hash: str
    instance: ids.InstanceId

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row."""
        text = f"{self.team}\n{self.idempotency_key}"
        return "claim/" + hashlib.sha256(text.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class Decision:
    """A verdict with what it rests on."""

    verdict: Verdict
    version: int = 0
    answer: typing.Mapping[str, typing.Any] | None = None
    holder: ids.InstanceId = ids.InstanceId("-")


class Claims:
    """The claims in a table."""

    def __init__(self, table: tables.Table) -> None:
        self._table = table

    async def claim(self, attempt: Attempt) -> Decision:
        """Try to become the one attempt that runs.

        UNAVAILABLE means that nothing may run; a late insert of this attempt
        may still appear, so the caller should ``release`` it later.
        """
        expected = tables.ABSENT
        for _ in range(CLAIM_TRIES):
            result = await self._table.commit(
                {attempt.row_key: expected},
                {attempt.row_key: _body(attempt, ClaimState.STARTED)},
            )
            if result.committed:
                return Decision(Verdict.GRANTED, expected + 1)
            row = await self._latest(attempt, result)
            if isinstance(row, Decision):
                return row
            if row is None:
                expected = tables.ABSENT
                continue
            decision = _judge(attempt, row)
            if decision is not None:
                return decision
            expected = row.version
        return Decision(Verdict.UNAVAILABLE)

    async def finish(
        self,
        attempt: Attempt,
        state: ClaimState,
        answer: typing.Mapping[str, typing.Any] | None = None,
    ) -> bool:
        """Record how a granted attempt ended, and tell whether it is stored.

        RELEASED lets a later attempt run; it is right only if no byte left.
        """
        body = _body(attempt, state) | {"answer": answer}
        for _ in range(CLAIM_TRIES):
            try:
                rows = await self._table.read_latest([attempt.row_key])
            except tables.TableUnavailable:
                continue
            row = rows.get(attempt.row_key)
            if row is None and state is not ClaimState.RELEASED:
                return False
            if row is not None and row.body["attempt"] != attempt.id:
                return False
            if row is not None and row.body["state"] != "started":
                return bool(row.body["state"] == state.value)
            expected = row.version if row else tables.ABSENT
            result = await self._table.commit(
                {attempt.row_key: expected},
                {attempt.row_key: body},
            )
            if result.committed:
                return True
        return False

    async def _latest(
        self,
        attempt: Attempt,
        result: tables.CommitResult,
    ) -> tables.Row | Decision | None:
        if result.state is tables.CommitState.CONFLICT:
            return result.by_key.get(attempt.row_key)
        try:
            rows = await self._table.read_latest([attempt.row_key])
        except tables.TableUnavailable:
            return Decision(Verdict.UNAVAILABLE)
        return rows.get(attempt.row_key)


def hash_body(*parts: bytes) -> str:
    """Return the hash under which repeats of one call are compared."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _body(attempt: Attempt, state: ClaimState) -> dict[str, typing.Any]:
    return {
        "attempt": attempt.id,
        "instance": attempt.instance,
        "body_hash": attempt.body_hash,
        "state": state.value,
    }


def _judge(attempt: Attempt, row: tables.Row) -> Decision | None:
    """Read a row on behalf of an attempt; None means that it is free."""
    body = row.body
    state = ClaimState(body["state"])
    if body["attempt"] == attempt.id and state is ClaimState.STARTED:
        return Decision(Verdict.GRANTED, row.version)
    if state is ClaimState.RELEASED:
        return None
    if body["body_hash"] != attempt.body_hash:
        return Decision(Verdict.KEY_REUSED)
    if state is ClaimState.DONE:
        return Decision(Verdict.ANSWERED, row.version, body["answer"])
    holder = ids.InstanceId(body["instance"])
    if state is ClaimState.UNKNOWN:
        return Decision(Verdict.OUTCOME_UNKNOWN, holder=holder)
    return Decision(Verdict.RUNNING, holder=holder)
