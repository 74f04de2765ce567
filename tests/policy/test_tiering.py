"""Placement by where weights are kept."""

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
    **more: typing.Any,
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
        **more,
    )


def situation(
    engines: list[tiering.Engine],
    store_loads: int = 5,
    **demand_by_model: tiering.Demand,
) -> tiering.Situation:
    """Return a situation in which every model has one size."""
    return tiering.Situation(
        {model: SIZE for model in MODELS},
        engines,
        demand_by_model,
        store_loads,
    )


WAITED_FOR = tiering.Demand(10.0, waiting=2, oldest_wait_ms=100)


class TestWaiting:
    """Models that requests wait for."""

    def test_free_memory_is_used_first(self) -> None:
        """No model is unloaded while another engine has room."""
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"], ["m5"]),
                    engine("b", ["m0", "m1"], ["m5"]),
                ],
                m5=WAITED_FOR,
            )
        )
        assert moves[0].kind is tiering.MoveKind.LOAD
        assert (moves[0].engine, moves[0].model) == ("b", "m5")

    def test_weights_on_disk_go_before_the_store(self) -> None:
        """The engine that keeps the weights makes room for them."""
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"]),
                    engine("b", ["m6", "m7", "m8"], ["m5"]),
                ],
                m5=WAITED_FOR,
            )
        )
        assert [move.engine for move in moves] == ["b"]
        assert moves[0].kind is tiering.MoveKind.UNLOAD
        assert moves[0].in_favour_of == "m5"

    def test_an_engine_under_an_order_is_awaited(self) -> None:
        """A load from the store takes longer than the order."""
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
                m5=WAITED_FOR,
            )
        )
        assert moves == []

    def test_an_engine_that_cannot_make_room_is_not_awaited(self) -> None:
        """Its models are needed themselves, whenever its order ends."""
        busy = tiering.Demand(500.0, is_urgent=True)
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
                m6=busy,
                m7=busy,
                m8=busy,
            )
        )
        assert [(m.engine, m.in_favour_of) for m in moves] == [("a", "m5")]

    def test_an_engine_that_is_busy_for_long_is_not_awaited(self) -> None:
        """Then the store is faster."""
        far = engine(
            "b", ["m6", "m7", "m8"], ["m5"], is_free=False, busy_ms=8_000
        )
        moves = tiering.plan(
            situation([engine("a", ["m0", "m1", "m2"]), far], m5=WAITED_FOR)
        )
        assert [move.engine for move in moves] == ["a"]

    def test_an_engine_that_is_not_known_is_not_awaited(self) -> None:
        """Nobody can say when it may be used again."""
        doubtful = engine(
            "b", ["m6", "m7", "m8"], ["m5"], is_free=False, is_known=False
        )
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"]), doubtful], m5=WAITED_FOR
            )
        )
        assert [move.engine for move in moves] == ["a"]

    def test_one_victim_for_one_model(self) -> None:
        """Nothing else is unloaded while a place is reserved."""
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
                m5=WAITED_FOR,
            )
        )
        assert moves == []

    def test_a_reserved_place_is_filled_when_it_is_free(self) -> None:
        """The model that it was made for is loaded there."""
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1"], ["m5"], reserved_for="m5")],
                m5=WAITED_FOR,
            )
        )
        assert [(m.kind, m.model) for m in moves] == [
            (tiering.MoveKind.LOAD, "m5")
        ]

    def test_the_store_rate_binds(self) -> None:
        """No load from the store begins beyond what its rate leaves."""
        moves = tiering.plan(
            situation([engine("a", ["m0", "m1"])], store_loads=0)
        )
        assert moves == []

    def test_a_used_urgent_model_keeps_its_only_copy(self) -> None:
        """A waiting model takes another place, or none."""
        busy = tiering.Demand(500.0, is_urgent=True)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=busy,
                m1=busy,
                m5=WAITED_FOR,
            )
        )
        assert [move.model for move in moves] == ["m2"]

    def test_a_copy_that_is_still_loading_does_not_count(self) -> None:
        """The only copy that serves stays."""
        busy = tiering.Demand(500.0, is_urgent=True)
        loading = engine(
            "b", ["m6", "m7"], is_free=False, loading="m0", busy_ms=5_000
        )
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"]), loading],
                m0=busy,
                m1=busy,
                m2=busy,
                m5=WAITED_FOR,
            )
        )
        assert moves == []


class TestUrgentFirst:
    """Engines that come back while urgent models carry too much."""

    def test_an_empty_engine_takes_the_overloaded_model(self) -> None:
        """Patient requests have time; they wait for another engine."""
        hot = tiering.Demand(3_000.0, is_urgent=True)
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0", "m1", "m2"], ["m0"]),
                    engine("b", [], ["m0", "m5"]),
                ],
                m0=hot,
                m5=WAITED_FOR,
            )
        )
        assert [(m.engine, m.model) for m in moves][0] == ("b", "m0")

    def test_patient_models_leave_needed_copies(self) -> None:
        """A copy that urgent requests need is not given to patient ones."""
        hot = tiering.Demand(3_000.0, is_urgent=True)
        small = {"memory_mb": 75.0}
        moves = tiering.plan(
            situation(
                [
                    engine("a", ["m0"], ["m5"], **small),
                    engine("b", ["m0"], ["m5"], **small),
                    engine("c", ["m6"], **small),
                ],
                m0=hot,
                m5=WAITED_FOR,
                m6=tiering.Demand(50.0),
            )
        )
        assert [move.engine for move in moves] == ["c"]

    def test_patient_models_occupy_a_part_of_the_engines(self) -> None:
        """While an urgent model lacks copies that none can take yet."""
        hot = tiering.Demand(3_000.0, is_urgent=True)
        engines = [
            engine(f"e{n}", ["m9", "m10", "m11"], [f"m{n + 1}"])
            for n in range(6)
        ]
        moves = tiering.plan(
            situation(
                engines,
                store_loads=0,
                m0=hot,
                **{f"m{n + 1}": WAITED_FOR for n in range(6)},
            )
        )
        assert len(moves) == 3

    def test_a_model_that_nobody_has_asked_for_goes_last(self) -> None:
        """It may be urgent, and its load would take seconds."""
        unseen = tiering.Demand(is_seen=False)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=unseen,
                m1=tiering.Demand(),
                m2=unseen,
                m5=WAITED_FOR,
            )
        )
        assert [move.model for move in moves] == ["m1"]

    def test_demand_that_only_fades_keeps_no_place(self) -> None:
        """Work halves again and again and never becomes nothing."""
        faded = tiering.Demand(0.01, is_urgent=True)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=faded,
                m1=faded,
                m2=faded,
                m5=WAITED_FOR,
            )
        )
        assert len(moves) == 1


class TestBeforeTraffic:
    """What is done while nobody asks."""

    def test_a_model_that_only_the_store_has_is_brought_to_a_disk(
        self,
    ) -> None:
        """It takes the place of one whose weights stay on the disk."""
        every = [engine("a", MODELS[:3], MODELS[3:-1])]
        moves = tiering.plan(situation(every))
        assert [move.in_favour_of for move in moves] == [MODELS[-1]]

    def test_not_while_anybody_asks(self) -> None:
        """The load would hold up other orders for seconds."""
        every = [engine("a", MODELS[:3], MODELS[3:-1])]
        asked = tiering.Demand(5.0)
        assert tiering.plan(situation(every, m0=asked)) == []

    def test_not_before_every_engine_has_come(self) -> None:
        """One that registers a moment later may hold the model."""
        every = [engine("a", MODELS[:3], MODELS[3:-1])]
        early = dataclasses.replace(situation(every), is_settled=False)
        assert tiering.plan(early) == []

    def test_expected_models_are_replaced_last(self) -> None:
        """The platform placed them on several engines itself."""
        hint = tiering.Demand(is_expected=True)
        moves = tiering.plan(
            situation(
                [engine("a", ["m0", "m1", "m2"], ["m5"])],
                m0=hint,
                m1=hint,
                m5=WAITED_FOR,
            )
        )
        assert [move.model for move in moves] == ["m2"]


class TestCopies:
    """How many engines hold an urgent model."""

    def test_places_follow_the_work(self) -> None:
        """Many patient models keep one place on each engine."""
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
        """The others stay with models that may be asked for next."""
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
    def test_random_courses(self, seed: int) -> None:
        """Whatever is planned fits, with every order still under way."""
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
                    reserved[move.engine] = move.in_favour_of
            for name, models in held.items():
                coming = {loading[name]} - {""}
                assert len(models | coming) <= 3
                if coming and draw.random() < 0.5:
                    models |= coming
                    loading[name] = ""
