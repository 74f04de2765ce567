"""Claims: no call runs twice, and no call that ran is reported as not run."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from cardamom_kernel import claims
from cardamom_kernel import ids
from tests import fakes
from tests import mutants

TEAM = ids.TeamId("team-a")


@dataclasses.dataclass
class Call:
    """One attempt to run the client's call, at an instance of its own."""

    attempt: claims.Attempt
    runs: int = 0
    is_reported_not_run: bool = False
    is_answered: bool = False


class ClaimsMachine(fakes.TableMachine):
    """Repeats of one call over a table that loses responses."""

    claims_type = claims.Claims

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[Call] = []
        self.tasks: list[asyncio.Task[None]] = []

    @stateful.rule(connects=st.booleans())
    def repeat(self, connects: bool) -> None:
        """Send the call, or repeat it, at another instance."""
        number = len(self.calls)
        attempt = claims.Attempt(
            ids.AttemptId(f"try-{number}"),
            TEAM,
            "key",
            "hash",
            ids.InstanceId(f"entry-{number}"),
        )
        call = Call(attempt)
        self.calls.append(call)
        self.tasks.append(self.runner.start(self.serve(call, connects)))
        self.runner.settle()

    async def serve(self, call: Call, connects: bool) -> None:
        """Handle the call as an instance handles a non-idempotent call."""
        book = self.claims_type(self.table)
        decision = await book.claim(call.attempt)
        if decision.verdict is claims.Verdict.UNAVAILABLE:
            call.is_reported_not_run = True
            await book.finish(call.attempt, claims.ClaimState.RELEASED)
            return
        if decision.verdict is claims.Verdict.ANSWERED:
            call.is_answered = True
        if decision.verdict is not claims.Verdict.GRANTED:
            return
        if not connects:
            call.is_reported_not_run = True
            await book.finish(call.attempt, claims.ClaimState.RELEASED)
            return
        call.runs += 1
        await book.finish(call.attempt, claims.ClaimState.DONE, {"ok": 1})

    @stateful.precondition(lambda self: self.tasks)
    @stateful.rule(pick=st.integers(0, 1 << 20))
    def crash(self, pick: int) -> None:
        """Cancel an instance's task while it handles the call."""
        self.tasks[pick % len(self.tasks)].cancel()
        self.runner.settle()

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """Assert that the call has run at most once."""
        assert sum(call.runs for call in self.calls) <= 1

    @stateful.invariant()
    def calls_reported_as_not_run_have_not_run(self) -> None:
        """Assert that no attempt that was reported as not run has run."""
        assert not any(c.is_reported_not_run and c.runs for c in self.calls)

    @stateful.invariant()
    def stored_answer_comes_from_a_run(self) -> None:
        """Assert that an answer is stored only after a run."""
        if any(call.is_answered for call in self.calls):
            assert any(call.runs for call in self.calls)


class RunAfterLostResponse(claims.Claims):
    """A mutant that treats a lost response as a successful insert."""

    async def claim(self, attempt: claims.Attempt) -> claims.Decision:
        """Insert once, and run unless another attempt holds the claim."""
        result = await self._table.commit(
            {attempt.row_key: 0},
            {
                attempt.row_key: claims._row_body(
                    attempt, claims.ClaimState.STARTED
                )
            },
        )
        if result.state.value == "conflict":
            return claims.Decision(claims.Verdict.RUNNING)
        return claims.Decision(claims.Verdict.GRANTED)


class TakeOverRunningClaim(claims.Claims):
    """A mutant that takes over a claim that another attempt holds."""

    async def claim(self, attempt: claims.Attempt) -> claims.Decision:
        """Claim, and run even if another attempt is running."""
        decision = await super().claim(attempt)
        if decision.verdict is claims.Verdict.RUNNING:
            return claims.Decision(claims.Verdict.GRANTED)
        return decision


class ReleaseForeignClaim(claims.Claims):
    """A mutant that releases a claim without checking who holds it."""

    async def finish(
        self,
        attempt: claims.Attempt,
        state: claims.ClaimState,
        answer: object = None,
    ) -> bool:
        """Delete the row unconditionally."""
        if state is claims.ClaimState.RELEASED:
            await self._table.commit({}, {}, [attempt.row_key])
        return True


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = hypothesis.settings(max_examples=300)


def _machine_with(kind: type[claims.Claims]) -> type[ClaimsMachine]:
    return type("Mutant", (ClaimsMachine,), {"claims_type": kind})


class TestMutants:
    """The state machine detects deliberately broken claims."""

    def test_detects_run_after_lost_response(self) -> None:
        mutants.must_fail(_machine_with(RunAfterLostResponse))

    def test_detects_takeover_of_running_claim(self) -> None:
        mutants.must_fail(_machine_with(TakeOverRunningClaim))

    def test_detects_release_of_foreign_claim(self) -> None:
        mutants.must_fail(_machine_with(ReleaseForeignClaim))


class TestClaims:
    """Verdicts for repeats, reused keys and released claims."""

    def _claim(
        self,
        table: fakes.MemoryTable,
        name: str,
        body_hash: str = "hash",
    ) -> claims.Decision:
        return asyncio.run(
            claims.Claims(table).claim(self._attempt(name, body_hash))
        )

    def _attempt(self, name: str, body_hash: str = "hash") -> claims.Attempt:
        return claims.Attempt(
            ids.AttemptId(name), TEAM, "key", body_hash, ids.InstanceId("a")
        )

    def test_repeat_gets_stored_answer(self) -> None:
        table = fakes.MemoryTable()
        assert self._claim(table, "one").verdict is claims.Verdict.GRANTED
        assert self._claim(table, "two").verdict is claims.Verdict.RUNNING
        finish = claims.Claims(table).finish(
            self._attempt("one"), claims.ClaimState.DONE, {"status": 200}
        )
        assert asyncio.run(finish)
        decision = self._claim(table, "two")
        assert decision.verdict is claims.Verdict.ANSWERED
        assert decision.answer == {"status": 200}

    def test_key_with_another_body_is_refused(self) -> None:
        table = fakes.MemoryTable()
        self._claim(table, "one")
        decision = self._claim(table, "two", "other")
        assert decision.verdict is claims.Verdict.KEY_REUSED

    def test_released_claim_can_be_claimed_again(self) -> None:
        table = fakes.MemoryTable()
        self._claim(table, "one")
        book = claims.Claims(table)
        released = claims.ClaimState.RELEASED
        assert asyncio.run(book.finish(self._attempt("one"), released))
        assert self._claim(table, "two").verdict is claims.Verdict.GRANTED
