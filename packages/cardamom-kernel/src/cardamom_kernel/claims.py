"""At-most-once execution of calls that carry an idempotency key.

A claim is a row in the table under the team and the idempotency key.  An
instance inserts it before it sends the first byte of the call to a target.
Only the attempt whose insert took effect may run, and no other attempt takes
over a claim unless it was released.  If the response to an insert is lost,
the row is read back to learn whether the insert took effect.
"""

import dataclasses
import enum
import hashlib
import typing

from cardamom_kernel import ids
from cardamom_kernel import tables

MAX_CLAIM_TRIES = 3


class ClaimState(enum.Enum):
    """The state of a claim; the value is stored in its row.

    DONE means that the answer is stored.  UNKNOWN means that the attempt may
    or may not have run.  RELEASED means that it did not run.
    """

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Verdict(enum.Enum):
    """The result of an attempt to claim.

    GRANTED: this attempt may run.  ANSWERED: an earlier attempt has run and
    its answer is stored.  RUNNING: another attempt holds the claim.
    OUTCOME_UNKNOWN: an earlier attempt may have run.  KEY_REUSED: the key was
    used with another body.  UNAVAILABLE: the table did not respond, or the
    row kept changing.
    """

    GRANTED = "granted"
    ANSWERED = "answered"
    RUNNING = "running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt of one instance to run a caller's call.

    ``body_hash`` tells repeats of the call from a reuse of its idempotency
    key for another call; see ``hash_body``.
    """

    id: ids.AttemptId
    team: ids.TeamId
    idempotency_key: str
    body_hash: str
    instance: ids.InstanceId

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row in the table."""
        text = f"{self.team}\n{self.idempotency_key}"
        return "claim/" + hashlib.sha256(text.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class Decision:
    """A verdict and the data of the claim's row.

    ``version`` is the row's version for GRANTED and ANSWERED, else 0.
    ``answer`` is set for ANSWERED only.  ``holder`` is the instance of the
    earlier attempt for RUNNING and OUTCOME_UNKNOWN, else ``-``.
    """

    verdict: Verdict
    version: int = 0
    answer: typing.Mapping[str, typing.Any] | None = None
    holder: ids.InstanceId = ids.InstanceId("-")


class Claims:
    """Creates and finishes claims in a table; it keeps no other state."""

    def __init__(self, table: tables.Table) -> None:
        self._table = table

    async def claim(self, attempt: Attempt) -> Decision:
        """Try to become the only attempt that may run.

        On UNAVAILABLE the attempt must not run.  Its insert may still take
        effect later, so the caller should then ``finish`` it as RELEASED.
        Never raises TableUnavailable.
        """
        expected = tables.ABSENT
        for _ in range(MAX_CLAIM_TRIES):
            result = await self._table.commit(
                {attempt.row_key: expected},
                {attempt.row_key: _row_body(attempt, ClaimState.STARTED)},
            )
            if result.committed:
                return Decision(Verdict.GRANTED, expected + 1)
            row = await self._read_current_row(attempt, result)
            if isinstance(row, Decision):
                return row
            if row is None:
                expected = tables.ABSENT
                continue
            decision = _decide_from_row(attempt, row)
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
        """Store how an attempt ended, with its answer if it is DONE.

        RELEASED lets a later attempt run, so it is allowed only if no byte
        of the call was sent to a target.  Returns whether the state is known
        to be stored; False also if another attempt holds the claim, if the
        claim already ended in another state, or after repeated failures of
        the table.  Never raises TableUnavailable.
        """
        body = _row_body(attempt, state) | {"answer": answer}
        for _ in range(MAX_CLAIM_TRIES):
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

    async def _read_current_row(
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
    """Return a hash that is equal for repeats of one call, as hex digits.

    Each part is hashed with its length, so that bytes moved from one part to
    the next change the hash.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _row_body(attempt: Attempt, state: ClaimState) -> dict[str, typing.Any]:
    return {
        "attempt": attempt.id,
        "instance": attempt.instance,
        "body_hash": attempt.body_hash,
        "state": state.value,
    }


def _decide_from_row(attempt: Attempt, row: tables.Row) -> Decision | None:
    """Return the decision that a row implies, or None if it is released."""
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
