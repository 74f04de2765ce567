"""Tests of state updates that readers of the store pass on."""

import asyncio
import collections
import random
import typing

import pytest

from cardamom_gateway.fleet import digests
from cardamom_gateway.fleet import peers
from cardamom_kernel import ids
from tests.gateway import links

SIZES = (110, 220)
SECONDS = 4
# A count is extrapolated beyond this age.
MAX_COUNT_AGE_MS = 1_400
# Updates to the reader, and a sample in case it is gone, each 0.2 s.
MAX_MESSAGES_PER_S = 15
ANY_COUNTS = {"q": {"team": [100, 50]}, "l": {}}


class Fleet:
    """Instances in three data centres; the first of each is its reader."""

    def __init__(self, size: int) -> None:
        self.received: list[dict[str, tuple[int, peers.StateUpdate]]] = [
            {} for _ in range(size)
        ]
        self.network = links.Network(size, self._receive)
        self.links = self.network.links
        self.readers = set(range(len(links.DATA_CENTRES)))
        self.digests = [
            digests.Digests(
                link._settings,
                self.network.clock,
                link,
                lambda audience, n=number: self.base(n) | ANY_COUNTS,
                lambda n=number: n in self.readers,
                lambda n=number: self.base(n),
            )
            for number, link in enumerate(self.links)
        ]
        for number, link in enumerate(self.links):
            link._gather_update = lambda audience, n=number: (
                self.base(n) | ANY_COUNTS
            )

    def base(self, number: int) -> peers.StateUpdate:
        """Return the fields that each message carries."""
        update: peers.StateUpdate = {"up": self.network.clock.now_ms()}
        return update | ({"rd": 1} if number in self.readers else {})

    def _receive(
        self,
        number: int,
        incarnation: str,
        update: peers.StateUpdate,
        age_ms: int,
    ) -> None:
        at_ms = self.network.clock.now_ms() - age_ms
        if "q" in update:
            name = incarnation.partition("@")[0]
            self.received[number][name] = (at_ms, update)
        if not age_ms:
            self.digests[number].note(update)
            self.digests[number].receive(update)

    def run(self, seconds: int) -> None:
        """Let rounds of all instances and of the readers pass."""
        rounds = seconds * 1_000 // peers.LOCAL_PERIOD_MS
        for number in range(rounds):
            self.network.clock.step(peers.LOCAL_PERIOD_MS)
            for link in self.links:
                members = link._round_members(number, rounds)
                link.send_update(members, peers.Audience.LOCAL)
            self.network.deliver()
            for reader in sorted(self.readers):
                self.digests[reader].send()
            self.network.deliver()

    def oldest_ms(self, number: int) -> int:
        """Return the age of the oldest count that an instance has."""
        received = self.received[number]
        if len(received) < len(self.links) - 1:
            return 1 << 30
        now_ms = self.network.clock.now_ms()
        return max(now_ms - at_ms for at_ms, _ in received.values())


class TestDigests:
    """Updates of a fleet in which each instance hears few others."""

    @pytest.mark.parametrize("size", SIZES)
    def test_all_counts_reach_all_instances_in_time(self, size: int) -> None:
        """A member that isn't heard counts for its share of each rate."""
        fleet = Fleet(size)
        fleet.run(SECONDS)
        assert max(map(fleet.oldest_ms, range(size))) <= MAX_COUNT_AGE_MS

    def test_versions_of_evacuations_are_passed_on(self) -> None:
        """A data centre that has lost the store couldn't ask for the rows."""
        fleet = Fleet(SIZES[0])
        base = fleet.base
        fleet.base = lambda number: (  # type: ignore[method-assign]
            base(number) | ({"ee": 1, "ev": 700} if number % 2 else {})
        )
        fleet.run(SECONDS)
        for received in fleet.received:
            versions = {
                name: (update.get("ee"), update.get("ev"))
                for name, (_, update) in received.items()
            }
            assert len(versions) == len(fleet.links) - 1
            assert set(versions.values()) == {(1, 700), (None, None)}

    def test_messages_do_not_grow_with_the_fleet(self) -> None:
        """Each instance would spend more on each further one."""
        for size in SIZES:
            fleet = Fleet(size)
            sent: collections.Counter[str] = collections.Counter()
            for transport in fleet.network.transports:
                _count(transport, sent)
            fleet.run(SECONDS)
            others = [
                sent[link._settings.peers_host]
                for number, link in enumerate(fleet.links)
                if number not in fleet.readers
            ]
            assert max(others) <= MAX_MESSAGES_PER_S * SECONDS

    def test_slow_targets_are_passed_on(self) -> None:
        """Guards against large fleets that learn of few slow targets."""
        fleet = Fleet(SIZES[0])
        slow = {"i-1": [1_000, ["stream", 4.0, 3, 20]]}
        link = fleet.links[7]
        link._gather_update = lambda audience: (
            fleet.base(7) | ANY_COUNTS | {"sp": slow}
        )
        fleet.run(SECONDS)
        name = link._settings.instance
        assert all(
            received[name][1].get("sp") == slow
            for number, received in enumerate(fleet.received)
            if number != 7
        )

    def test_unknown_reader_is_found_through_any_instance(self) -> None:
        """A reader has not heard those of other data centres at first."""
        fleet = Fleet(SIZES[0])
        fleet.run(SECONDS)
        fleet.readers = {3, 4, 5}
        fleet.run(SECONDS)
        assert max(map(fleet.oldest_ms, range(SIZES[0]))) <= MAX_COUNT_AGE_MS

    @pytest.mark.parametrize("seed", range(3))
    def test_lost_messages_are_made_up_for(self, seed: int) -> None:
        """Counts that don't change would not be sent again."""
        random.seed(seed)
        fleet = Fleet(SIZES[0])
        lost = iter(range(1 << 30))
        fleet.network.is_lost = lambda: next(lost) % 20 == 0
        fleet.run(SECONDS)
        oldest = [fleet.oldest_ms(n) for n in range(SIZES[0])]
        assert max(oldest) <= 2 * MAX_COUNT_AGE_MS

    @pytest.mark.parametrize("text", ["", "!", "AAAA", 7])
    def test_malformed_message_is_an_error(self, text: typing.Any) -> None:
        """The link logs it and drops it."""
        fleet = Fleet(4)
        update = {"n": "frontend-3", "u": "1", "z": "bog-a", "y": text}
        with pytest.raises((ValueError, TypeError)):
            fleet.digests[0].receive(update)

    def test_own_update_that_comes_back_is_dropped(self) -> None:
        """Its own counts would count twice."""

        async def scenario() -> None:
            fleet = Fleet(SIZES[0])
            fleet.run(1)
            for number, link in enumerate(fleet.links):
                own = ids.InstanceId(link._settings.instance)
                assert own not in fleet.received[number]
                assert own not in link.peer_by_id

        asyncio.run(scenario())


def _count(transport: links.Transport, sent: collections.Counter[str]) -> None:
    """Count the messages that a transport sends."""
    send = transport.sendto

    def counted(data: bytes, address: links.Address) -> None:
        sent[transport.sender.peers_host] += 1
        send(data, address)

    transport.sendto = counted  # type: ignore[method-assign]
