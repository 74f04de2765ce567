"""Tests that the soak's ledger names each broken promise."""

from tests.soak import ledger as ledgers


def ledger_with(*attempts: str, kind: str = "write") -> ledgers.Ledger:
    """Return a ledger with attempts of an instance in touch."""
    ledger = ledgers.Ledger()
    for attempt in attempts:
        ledger.sent[attempt] = ledgers.Sent("frontend-0", kind, 0.0, True)
    return ledger


def arrive(
    ledger: ledgers.Ledger, attempt: str, at_s: float = 1.0, tokens: int = 1
) -> None:
    """Let a request reach a replica."""
    ledger.note_arrival(ledgers.Arrival(attempt, "r0", at_s, "flood", tokens))


def evacuated_ledger() -> ledgers.Ledger:
    """Return a ledger with bog-a evacuated at 10 s."""
    ledger = ledger_with("a")
    ledger.disturbance_by_instance["frontend-0"] = ledgers.Disturbance()
    ledger.begin_evacuation("bog-a", 10.0)
    return ledger


class TestBrokenPromises:
    """What callers and replicas see when a promise is broken."""

    def test_sound_run_has_no_violation(self) -> None:
        """The other tests would say nothing."""
        ledger = ledger_with("a", "b")
        arrive(ledger, "a")
        ledger.not_run.add("b")
        ledger.check_runs()
        ledger.check_rate("flood", 10)
        ledger.check_bad_part()
        assert ledger.violations == []

    def test_second_run_of_a_write_is_named(self) -> None:
        """Payments would be posted twice."""
        ledger = ledger_with("a")
        arrive(ledger, "a")
        arrive(ledger, "a")
        ledger.check_runs()
        assert len(ledger.violations) == 1

    def test_run_after_a_promise_not_to_run_is_named(self) -> None:
        """A caller would send it again."""
        ledger = ledger_with("a")
        ledger.not_run.add("a")
        arrive(ledger, "a")
        ledger.check_runs()
        assert len(ledger.violations) == 1

    def test_late_request_to_a_leaving_replica_is_named(self) -> None:
        """It could be cut."""
        ledger = ledger_with("a")
        ledger.leaving_s["r0"] = 10.0
        arrive(ledger, "a", at_s=11.9)
        assert ledger.violations == []
        arrive(ledger, "a", at_s=12.1)
        assert len(ledger.violations) == 1

    def test_late_request_to_a_replica_that_said_it_leaves_is_named(
        self,
    ) -> None:
        """Its entry needn't say so, but the instance has passed it on."""
        ledger = ledger_with("a", "b")
        arrive(ledger, "a")
        ledger.note_told_leaving("a", 10.0)
        ledger.sent["b"].at_s = 12.0
        arrive(ledger, "b", at_s=12.5)
        assert ledger.violations == []
        ledger.sent["b"].at_s = 12.1
        arrive(ledger, "b", at_s=12.5)
        assert len(ledger.violations) == 1

    def test_late_request_to_an_evacuated_data_centre_is_named(self) -> None:
        """The data centre could be without power."""
        ledger = evacuated_ledger()
        ledger.note_in_zone("bog-a", "r0", "a", 14.9)
        ledger.note_in_zone("bog-b", "r1", "a", 15.1)
        assert ledger.violations == []
        ledger.note_in_zone("bog-a", "r0", "a", 15.1)
        assert len(ledger.violations) == 1

    def test_store_outage_excuses_only_rows_that_nobody_heard(self) -> None:
        """An outage must not end what instances already know."""
        ledger = evacuated_ledger()
        ledger.store.begin()
        ledger.note_in_zone("bog-a", "r0", "a", 16.0)
        assert ledger.violations == []
        ledger.store.end(16.0)
        ledger.note_in_zone("bog-a", "r0", "a", 18.9)
        assert ledger.violations == []
        ledger.note_in_zone("bog-b", "r1", "a", 19.1)
        ledger.store.begin()
        ledger.note_in_zone("bog-a", "r0", "a", 19.2)
        assert len(ledger.violations) == 1

    def test_requests_beyond_the_promise_of_evacuations_are_not_named(
        self,
    ) -> None:
        """Instances may be disturbed or of an earlier build, or it ended."""
        ledger = evacuated_ledger()
        ledger.disturbance_by_instance["frontend-0"].begin()
        ledger.note_in_zone("bog-a", "r0", "a", 16.0)
        ledger.disturbance_by_instance["frontend-0"].end(16.0)
        ledger.sent["a"].heeds_answers = False
        ledger.note_in_zone("bog-a", "r0", "a", 19.9)
        ledger.sent["a"].heeds_answers = True
        ledger.end_evacuation("bog-a", 20.0)
        ledger.note_in_zone("bog-a", "r0", "a", 20.1)
        assert ledger.violations == []

    def test_requests_in_a_stated_time_are_named(self) -> None:
        """Two are allowed, and more in the first half second."""
        ledger = ledger_with("a")
        for at_s in (1.0, 1.1, 1.4, 2.0, 3.0, 4.1):
            ledger.note_turned_away("r0", "a", at_s, 3.0)
        assert ledger.violations == []
        for at_s in (5.0, 5.1, 5.2):
            ledger.note_turned_away("r0", "a", at_s, 3.0)
        assert len(ledger.violations) == 1

    def test_request_that_no_caller_sent_is_named(self) -> None:
        """It could be half of another one."""
        ledger = ledger_with()
        arrive(ledger, "unknown")
        assert len(ledger.violations) == 1

    def test_tokens_beyond_a_rate_in_any_window_are_named(self) -> None:
        """Others would wait for them."""
        ledger = ledger_with("a")
        for second in (1.0, 5.0, 8.9):
            arrive(ledger, "a", at_s=second, tokens=40)
        ledger.check_rate("flood", 119)
        assert len(ledger.violations) == 1

    def test_fourth_late_arrival_of_the_bad_part_is_named(self) -> None:
        """It would go on crashing engines."""
        ledger = ledger_with("a", kind="chat")
        ledger.bad_attempts.add("a")
        ledger.crash_s = [1.0, 2.0, 3.0, 4.0, 5.0, 20.0]
        for at_s in (8.1, 9.0, 10.0):
            arrive(ledger, "a", at_s=at_s)
        ledger.check_bad_part()
        assert ledger.violations == []
        arrive(ledger, "a", at_s=11.0)
        ledger.check_bad_part()
        assert len(ledger.violations) == 1

    def test_requests_beyond_a_stated_limit_are_named(self) -> None:
        """A replica in need would get what it can't take."""
        ledger = ledger_with(*(f"a{n}" for n in range(15)))
        limit = ledgers.StatedLimit("r0", 1, 1.5, begun_s=0.0)
        limit.told_s["frontend-0"] = 0.2
        ledger.limits.append(limit)
        for number in range(14):
            arrive(ledger, f"a{number}", 4.0 + number / 10)
        ledger.check_limits()
        assert ledger.violations == []
        arrive(ledger, "a14", 5.5)
        ledger.check_limits()
        assert len(ledger.violations) == 1

    def test_requests_beyond_the_bound_of_a_cold_replica_are_named(
        self,
    ) -> None:
        """It would crash; eight in a second are allowed."""
        ledger = ledger_with(*(f"a{n}" for n in range(11)))
        ledger.cold_times.append(ledgers.ColdTime("r0", 10.0))
        for number in range(11):
            ledger.sent[f"a{number}"].at_s = 11.0 + number / 10
        # Sent before the second, in the next one, and to a warm replica.
        ledger.sent["a0"].at_s = 10.4
        for number in [*range(9), 10]:
            ledger.note_at_cold("r0", f"a{number}", 11.15 + number / 10)
        ledger.note_at_cold("r0", "a9", 13.1)
        ledger.check_cold()
        assert ledger.violations == []
        ledger.note_at_cold("r0", "a9", 11.95)
        ledger.check_cold()
        assert len(ledger.violations) == 1

    def test_falls_of_brittle_replicas_are_named(self) -> None:
        """Two falls of four replicas are allowed, and a tenth of four."""
        ledger = ledger_with()
        time = ledgers.BrittleTime(4, 0.0, falls=2)
        ledger.brittle_times.append(time)
        ledger.check_falls()
        assert ledger.violations == []
        time.falls = 3
        ledger.check_falls()
        assert len(ledger.violations) == 1

    def test_unserved_callers_of_cut_instances_are_named(self) -> None:
        """Others were served all the while."""
        ledger = ledger_with()
        for number in range(40):
            name = f"frontend-{number % 2}"
            ledger.sent[f"a{number}"] = ledgers.Sent(name, "read", 5.0, True)
            ledger.status_by_attempt[f"a{number}"] = (200, 503)[number % 2]
        ledger.cuts.append(
            ledgers.LinkCut(frozenset(["frontend-0"]), 0.0, 9.0)
        )
        ledger.check_cuts()
        assert ledger.violations == []
        ledger.cuts.append(
            ledgers.LinkCut(frozenset(["frontend-1"]), 0.0, 9.0)
        )
        ledger.check_cuts()
        assert len(ledger.violations) == 1
