"""Tests of the bound on the bytes of all messages together."""

import contextlib
import random

import pytest

from cardamom_kernel import held_bytes

MAX_BYTES = 100


class Messages:
    """Messages that are held until the end of the test."""

    def __init__(
        self, kind: type[held_bytes.HeldBytes] = held_bytes.HeldBytes
    ) -> None:
        self.held = kind(MAX_BYTES)
        self.evicted: list[str] = []
        self.stack = contextlib.ExitStack()

    def open(self, name: str, size_bytes: int = 0) -> held_bytes.Holding:
        """Hold a message of some size."""
        holding = self.stack.enter_context(
            self.held.hold(lambda: self.evicted.append(name))
        )
        holding.resize(size_bytes)
        return holding


class NeverEvicts(held_bytes.HeldBytes):
    """A bound that is not kept."""

    def _evict_largest(self, growing: held_bytes.Holding) -> None:
        pass


class SubtractsTwice(held_bytes.HeldBytes):
    """A bound that forgets what is still held."""

    def _remove(self, holding: held_bytes.Holding) -> None:
        self.total_bytes -= holding.size_bytes
        super()._remove(holding)


class TestHeldBytes:
    """Messages that fill the bound, and others beside them."""

    def test_messages_within_the_bound_are_kept(self) -> None:
        """A bound that is just reached could evict."""
        messages = Messages()
        messages.open("a", 60)
        messages.open("b", 40)
        assert messages.evicted == []
        assert messages.held.total_bytes == MAX_BYTES

    def test_largest_message_is_evicted_for_a_small_one(self) -> None:
        """Calls beside an endless answer would fail in its place."""
        messages = Messages()
        endless, small = messages.open("endless", 99), messages.open("small")
        small.resize(2)
        assert messages.evicted == ["endless"]
        assert messages.held.total_bytes == 2
        with pytest.raises(held_bytes.TooManyBytes):
            endless.resize(1)
        small.resize(MAX_BYTES)

    def test_message_that_is_the_largest_itself_is_told_by_its_growth(
        self,
    ) -> None:
        """Its reader would close an answer that it still reads."""
        messages = Messages()
        messages.open("small", 2)
        endless = messages.open("endless")
        with pytest.raises(held_bytes.TooManyBytes):
            endless.resize(99)
        assert messages.evicted == []
        assert messages.held.total_bytes == 2

    def test_end_of_a_message_makes_room(self) -> None:
        """The bound would fill up for good."""
        messages = Messages()
        with messages.held.hold(lambda: None) as holding:
            holding.resize(99)
        messages.open("next", MAX_BYTES)
        assert messages.held.total_bytes == MAX_BYTES

    def test_evicted_message_is_not_subtracted_twice(self) -> None:
        """The total would fall below what is held."""
        messages = Messages()
        with messages.held.hold(lambda: None) as holding:
            holding.resize(99)
            messages.open("small", 50)
        assert messages.held.total_bytes == 50

    @pytest.mark.parametrize("seed", range(20))
    def test_bound_holds_and_small_messages_go_on(self, seed: int) -> None:
        """Any order of growth and ends."""
        _grow_at_random(Messages(), seed)

    @pytest.mark.parametrize("kind", [NeverEvicts, SubtractsTwice])
    def test_random_growth_finds_a_broken_bound(
        self, kind: type[held_bytes.HeldBytes]
    ) -> None:
        """The check of random growth could accept anything."""
        with pytest.raises(AssertionError):
            _grow_at_random(Messages(kind), seed=1)


def _grow_at_random(messages: Messages, seed: int) -> None:
    """Resize messages, and check the total and the bound each time."""
    rng = random.Random(seed)
    holding_by_name: dict[str, held_bytes.Holding] = {}
    ended: set[str] = set()
    for number in range(300):
        if len(holding_by_name) < 12:
            holding_by_name[f"m{number}"] = messages.open(f"m{number}")
        name, holding = rng.choice(list(holding_by_name.items()))
        try:
            holding.resize(rng.randrange(MAX_BYTES // 4))
        except held_bytes.TooManyBytes:
            ended.add(name)
        for name in ended | set(messages.evicted):
            holding_by_name.pop(name, None)
        sizes = [h.size_bytes for h in holding_by_name.values()]
        assert messages.held.total_bytes == sum(sizes) <= MAX_BYTES
    assert messages.evicted
