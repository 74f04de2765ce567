"""Placement by the location of weights."""

import dataclasses
import random
import typing

import pytest

from cardamom_policy import tiering

SIZE = tiering.ModelSize(70.0, 600.0, 1_200.0, 5_800.0)
MODELS = [f"m{number}" for number in range(12)]


def engine(
    name: str,
    models: typing.Iterable[str],
    on_disk: typing.Iterable[str] = (),
    **overrides: typing.Any,
) -> tiering.Engine:
    """Return an engine that has room for three models."""
    held = tuple(models)
    return dataclasses.replace(
        tiering.Engine(
            id=name,
            memory_mb=220.0,
            by_model={
                model: tiering.Resident(0, 60_000, 60_000) for model in held
            },
            in_host_memory=frozenset(),
            on_disk=frozenset((*held, *on_disk)),
            is_free=True,
        ),
        **overrides,
    )


def situation(
    engines: list[tiering.Engine],
    allowed_store_loads: int = 5,
    **demand_by_model: tiering.Demand,
) -> tiering.Situation:
    """Return a situation in which every model has one size."""
    return tiering.Situation(
        {model: SIZE for model in MODELS},
        engines,
        demand_by_model,
        allowed_store_loads,
    )


HAS_WAITING = tiering.Demand(10.0, waiting=2, oldest_wait_ms=100)


class TestWaiting:
    """Models with waiting requests."""

    def test_free_memory_is_used_first(self) -> None:
        """Guards against an unload while another engine has room."""
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"], ["m5"]),
                    engine("b", ["m0", "m1"], ["m5"]),
                ],
                m5=HAS_WAITING,
            )
        )
        assert moves[0].kind is tiering.MoveKind.LOAD
        assert (moves[0].engine, moves[0].model) == ("b", "m5")

    def test_weights_on_disk_go_before_the_store(self) -> None:
        """Guards against a slow load from the store."""
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"]),
                    engine("b", ["m6", "m7", "m8"], ["m5"]),
                ],
                m5=HAS_WAITING,
            )
        )
        assert [move.engine for move in moves] == ["b"]
        assert moves[0].kind is tiering.MoveKind.UNLOAD
        assert moves[0].makes_room_for == "m5"

    def test_a_busy_engine_with_the_weights_is_awaited(self) -> None:
        """A load from the store would take longer than the running order."""
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"]),
                    engine(
                        "b",
                        ["m6", "m7", "m8"],
                        ["m5"],
                        is_free=False,
                        busy_ms=900,
                    ),
                ],
                m5=HAS_WAITING,
            )
        )
        assert moves == []

    def test_an_engine_that_cannot_make_room_is_not_awaited(self) -> None:
        """Guards against a wait for an engine whose models are all needed."""
        urgent = tiering.Demand(500.0, is_urgent=True)
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"]),
                    engine(
                        "b",
                        ["m6", "m7", "m8"],
                        ["m5"],
                        is_free=False,
                        busy_ms=900,
                    ),
                ],
                m5=tiering.Demand(900.0, is_urgent=True, waiting=1),
                m6=urgent,
                m7=urgent,
                m8=urgent,
            )
        )
        assert [(m.engine, m.makes_room_for) for m in moves] == [("a", "m5")]

    def test_an_engine_that_is_busy_for_long_is_not_awaited(self) -> None:
        """Guards against a wait that is longer than a load from the store."""
        long_busy = engine(
            "b", ["m6", "m7", "m8"], ["m5"], is_free=False, busy_ms=8_000
        )
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"]), long_busy], m5=HAS_WAITING
            )
        )
        assert [move.engine for move in moves] == ["a"]

    def test_an_engine_in_an_uncertain_state_is_not_awaited(self) -> None:
        """Guards against a wait of unknown duration."""
        uncertain = engine(
            "b",
            ["m6", "m7", "m8"],
            ["m5"],
            is_free=False,
            is_state_certain=False,
        )
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"]), uncertain], m5=HAS_WAITING
            )
        )
        assert [move.engine for move in moves] == ["a"]

    def test_a_reserved_place_prevents_another_unload(self) -> None:
        """Guards against two unloads for the same model."""
        moves = tiering.plan(
            situation(
                [
                    engine(
                        "a",
                        ["m0", "m1", "m2"],
                        ["m5"],
                        is_free=False,
                        reserved_for="m5",
                    ),
                    engine("b", ["m6", "m7", "m8"], ["m5"]),
                ],
                m5=HAS_WAITING,
            )
        )
        assert moves == []

    def test_a_free_reserved_place_gets_its_model(self) -> None:
        """Guards against another model in the reserved place."""
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1"], ["m5"], reserved_for="m5")],
                m5=HAS_WAITING,
            )
        )
        assert [(m.kind, m.model) for m in moves] == [
            (tiering.MoveKind.LOAD, "m5")
        ]

    def test_no_load_exceeds_the_store_rate(self) -> None:
        """Guards against loads from the store above its rate limit."""
        moves = tiering.plan(
            situation([engine("a", ["m0", "m1"])], allowed_store_loads=0)
        )
        assert moves == []

    def test_a_used_urgent_model_keeps_its_only_copy(self) -> None:
        """A model with waiting requests takes another place, or none."""
        urgent = tiering.Demand(500.0, is_urgent=True)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=urgent,
                m1=urgent,
                m5=HAS_WAITING,
            )
        )
        assert [move.model for move in moves] == ["m2"]

    def test_a_copy_that_is_still_loading_does_not_count(self) -> None:
        """Guards against the unload of the only copy that can serve."""
        urgent = tiering.Demand(500.0, is_urgent=True)
        loading = engine(
            "b", ["m6", "m7"], is_free=False, loading="m0", busy_ms=5_000
        )
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"]), loading],
                m0=urgent,
                m1=urgent,
                m2=urgent,
                m5=HAS_WAITING,
            )
        )
        assert moves == []


class TestUrgentFirst:
    """Engines that return while urgent models are overloaded."""

    def test_an_empty_engine_takes_the_overloaded_model(self) -> None:
        """Non-urgent requests can wait for another engine."""
        overloaded = tiering.Demand(3_000.0, is_urgent=True)
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"], ["m0"]),
                    engine("b", [], ["m0", "m5"]),
                ],
                m0=overloaded,
                m5=HAS_WAITING,
            )
        )
        assert [(m.engine, m.model) for m in moves][0] == ("b", "m0")

    def test_non_urgent_models_leave_needed_copies(self) -> None:
        """Guards against replacing a copy that urgent requests need."""
        overloaded = tiering.Demand(3_000.0, is_urgent=True)
        small = {"memory_mb": 75.0}
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0"], ["m5"], **small),
                    engine("b", ["m0"], ["m5"], **small),
                    engine("c", ["m6"], **small),
                ],
                m0=overloaded,
                m5=HAS_WAITING,
                m6=tiering.Demand(50.0),
            )
        )
        assert [move.engine for move in moves] == ["c"]

    def test_non_urgent_models_occupy_a_part_of_the_engines(self) -> None:
        """Guards against non-urgent orders on all engines during overload."""
        overloaded = tiering.Demand(3_000.0, is_urgent=True)
        engines = [
            engine(f"e{n}", ["m9", "m10", "m11"], [f"m{n + 1}"])
            for n in range(6)
        ]
        moves = tiering.plan(
            situation(
                engines,
                allowed_store_loads=0,
                m0=overloaded,
                **{f"m{n + 1}": HAS_WAITING for n in range(6)},
            )
        )
        assert len(moves) == 3

    def test_a_model_without_any_request_so_far_is_replaced_last(self) -> None:
        """It may be urgent, and loading it again would take seconds."""
        unseen = tiering.Demand(has_had_requests=False)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=unseen,
                m1=tiering.Demand(),
                m2=unseen,
                m5=HAS_WAITING,
            )
        )
        assert [move.model for move in moves] == ["m1"]

    def test_decayed_demand_keeps_no_place(self) -> None:
        """The work measure decays exponentially and never reaches zero."""
        decayed = tiering.Demand(0.01, is_urgent=True)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=decayed,
                m1=decayed,
                m2=decayed,
                m5=HAS_WAITING,
            )
        )
        assert len(moves) == 1


class TestBeforeTraffic:
    """Loads while no model has demand."""

    def test_a_model_that_is_only_in_the_store_is_loaded(
        self,
    ) -> None:
        """It replaces a model whose weights stay on the disk."""
        engines = [engine("a", MODELS[:3], MODELS[3:-1])]
        moves = tiering.plan(situation(engines))
        assert [move.makes_room_for for move in moves] == [MODELS[-1]]

    def test_no_store_only_load_under_demand(self) -> None:
        """Such a load would delay other orders for seconds."""
        engines = [engine("a", MODELS[:3], MODELS[3:-1])]
        low_demand = tiering.Demand(5.0)
        assert tiering.plan(situation(engines, m0=low_demand)) == []

    def test_no_store_only_load_before_engines_settle(self) -> None:
        """An engine that registers shortly afterwards may hold the model."""
        engines = [engine("a", MODELS[:3], MODELS[3:-1])]
        unsettled = dataclasses.replace(situation(engines), is_settled=False)
        assert tiering.plan(unsettled) == []

    def test_expected_models_are_replaced_last(self) -> None:
        """The platform itself placed them on several engines."""
        expected = tiering.Demand(is_expected=True)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=expected,
                m1=expected,
                m5=HAS_WAITING,
            )
        )
        assert [move.model for move in moves] == ["m2"]


class TestCopies:
    """How many engines hold an urgent model."""

    def test_places_follow_the_work(self) -> None:
        """Many non-urgent models keep one place on each engine."""
        engines = [engine(str(n), []) for n in range(9)]
        copies = tiering.copies_by_model(
            situation(
                engines,
                m0=tiering.Demand(6_000.0, is_urgent=True),
                m1=tiering.Demand(3_000.0, is_urgent=True),
                **{f"p{n}": tiering.Demand(10.0) for n in range(25)},
            )
        )
        assert copies == {"m0": 9, "m1": 6}

    def test_light_work_takes_no_more_places_than_it_needs(self) -> None:
        """The other places stay with models that may be requested next."""
        copies = tiering.copies_by_model(
            situation(
                [engine(str(n), []) for n in range(9)],
                m0=tiering.Demand(
                    3 * tiering.COPY_WORK_MS_PER_S, is_urgent=True
                ),
                m1=tiering.Demand(10.0, is_urgent=True),
            )
        )
        assert copies == {"m0": 3, "m1": 1}


class TestMemory:
    """Memory is never overcommitted."""

    @pytest.mark.parametrize("seed", range(30))
    def test_random_plans_never_overcommit_memory(self, seed: int) -> None:
        """Every planned load fits, also while other orders are running."""
        draw = random.Random(seed)
        held = {f"e{n}": set(draw.sample(MODELS, 3)) for n in range(4)}
        loading = dict.fromkeys(held, "")
        reserved = dict.fromkeys(held, "")
        for _ in range(60):
            demand = {
                model: tiering.Demand(
                    draw.choice([0.0, 50.0, 900.0]),
                    waiting=draw.choice([0, 0, 3]),
                    is_urgent=draw.random() < 0.4,
                )
                for model in draw.sample(MODELS, 5)
            }
            engines = [
                engine(
                    name,
                    models,
                    draw.sample(MODELS, 3),
                    is_free=not loading[name],
                    loading=loading[name],
                    reserved_for=reserved[name],
                )
                for name, models in held.items()
            ]
            for move in tiering.plan(situation(engines, **demand)):
                assert not loading[move.engine]
                if move.kind is tiering.MoveKind.LOAD:
                    loading[move.engine] = move.model
                    reserved[move.engine] = ""
                else:
                    held[move.engine].discard(move.model)
                    reserved[move.engine] = move.makes_room_for
            for name, models in held.items():
                arriving = {loading[name]} - {""}
                assert len(models | arriving) <= 3
                if arriving and draw.random() < 0.5:
                    models |= arriving
                    loading[name] = ""


class TestColdEngines:
    """Engines that bear only a few requests a second for a while."""

    @pytest.mark.parametrize(
        ("is_urgent", "expected"), [(True, "warm"), (False, "cold")]
    )
    def test_only_an_urgent_model_avoids_a_cold_engine(
        self, is_urgent: bool, expected: str
    ) -> None:
        """Guards against urgent requests that wait for permits."""
        demand = dataclasses.replace(HAS_WAITING, is_urgent=is_urgent)
        engines = [
            engine("cold", [], on_disk=["m1"], is_cold=True),
            engine("warm", []),
        ]
        moves = tiering.plan(situation(engines, m1=demand))
        assert next(m.engine for m in moves if m.model == "m1") == expected

    def test_urgent_model_is_loaded_on_a_cold_engine_if_all_are(self) -> None:
        """Guards against a model that nobody holds while engines are cold."""
        demand = dataclasses.replace(HAS_WAITING, is_urgent=True)
        engines = [engine("e1", [], on_disk=["m1"], is_cold=True)]
        moves = tiering.plan(situation(engines, m1=demand))
        assert [m.engine for m in moves if m.model == "m1"] == ["e1"]
