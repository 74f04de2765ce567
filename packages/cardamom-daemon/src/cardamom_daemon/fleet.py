"""What one instance knows: the state that its tasks share."""

import dataclasses
import secrets
import typing

from opentelemetry import trace
import structlog

from cardamom_config import folders
from cardamom_daemon import catalog
from cardamom_daemon import keyring
from cardamom_daemon import settings as settings_module
from cardamom_kernel import clocks
from cardamom_kernel import documents
from cardamom_kernel import freshness
from cardamom_kernel import growsets
from cardamom_kernel import ids
from cardamom_kernel import rosters
from cardamom_kernel import shares
from cardamom_kernel import suspicion
from cardamom_kernel import tables
from cardamom_kernel import telemetry

LOG = structlog.get_logger("cardamom.fleet")

CONFIG = "config"
KEYS = "keys"
ROSTER = "roster"
DRAINS = "drains"
DOCUMENTS = (CONFIG, KEYS, ROSTER, DRAINS)
WITHDRAWN_KEY = "withdrawn"
BOOT_BYTES = 4


def row_key(document: str) -> str:
    """Return the key of a document's row in the table."""
    return f"document/{document}"


@dataclasses.dataclass
class Fleet:
    """The state of one instance, kept in memory only.

    The instance id carries the boot, since a restarted process has forgotten
    what its predecessor acknowledged and must not vote in its place.
    """

    settings: settings_module.Settings
    clock: clocks.Clock
    table: tables.Table
    metrics: telemetry.Metrics
    tracer: trace.Tracer

    def __post_init__(self) -> None:
        self.boot = secrets.token_hex(BOOT_BYTES)
        self.instance = ids.InstanceId(
            f"{self.settings.instance}.{self.boot}",
        )
        self.documents = documents.DocumentStore()
        self.withdrawn = growsets.GrowSet()
        self.freshness = freshness.Freshness(
            self.clock,
            self.settings.freshness_ms,
        )
        self.shares = shares.ShareBook(self.clock)
        self.suspicions = suspicion.Suspicions(self.clock)
        self.keyring = keyring.Keyring()
        self.catalog = catalog.Catalog()
        self.roster: rosters.Roster | None = None
        self.own_seat: ids.SeatId | None = None
        self.passed_seats: dict[ids.SeatId, rosters.Seat] = {}
        self.draining_targets: frozenset[str] = frozenset()
        self.leaving_targets: frozenset[str] = frozenset()
        self.is_draining = False
        self.is_roster_in_force = False
        self.documents.listen(self._adopted)
        self._withdrawal_listeners: list[
            typing.Callable[[list[str]], None]
        ] = []
        self._config_listeners: list[typing.Callable[[], None]] = []

    def listen_withdrawals(
        self,
        listener: typing.Callable[[list[str]], None],
    ) -> None:
        """Call ``listener`` with key ids as they are withdrawn."""
        self._withdrawal_listeners.append(listener)

    def listen_configuration(
        self, listener: typing.Callable[[], None]
    ) -> None:
        """Call ``listener`` after each change of configuration."""
        self._config_listeners.append(listener)

    def withdraw(
        self,
        members: typing.Iterable[str],
        durable: bool = False,
    ) -> list[str]:
        """Withdraw keys here, and return those that were not before."""
        added = self.withdrawn.merge(members, durable)
        if added:
            LOG.info("fleet: keys withdrawn", keys=added)
            for listener in self._withdrawal_listeners:
                listener(added)
        return added

    def is_fresh(self) -> bool:
        """Tell whether this instance may act on what it holds."""
        return self.freshness.is_fresh()

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return (
            self.is_fresh()
            and not self.is_draining
            and self.documents.version(CONFIG) > 0
        )

    def target_takes_work(self, target: str) -> bool:
        """Tell whether a target may be given new work."""
        return (
            target not in self.draining_targets
            and target not in self.leaving_targets
        )

    def seat_holder(self, seat: ids.SeatId) -> rosters.Seat | None:
        """Return a seat with its present holder."""
        listed = self.roster.by_seat.get(seat) if self.roster else None
        passed = self.passed_seats.get(seat)
        if listed is None or passed is None:
            return listed
        return passed if passed.generation > listed.generation else listed

    def seats(self) -> list[rosters.Seat]:
        """Return every seat with its present holder."""
        if self.roster is None:
            return []
        held = (self.seat_holder(seat) for seat in self.roster.by_seat)
        return [seat for seat in held if seat is not None]

    def learn_seat(self, seat: rosters.Seat) -> None:
        """Take note of a seat that passed to a successor."""
        known = self.seat_holder(seat.id)
        if known is not None and seat.generation > known.generation:
            self.passed_seats[seat.id] = seat
            self._settle_seat()

    def may_hold_shares(self) -> bool:
        """Tell whether this instance's seat may hold and move shares.

        A seat that the newest epoch has added must wait until that epoch is
        in force, so that no reconciliation can miss it.
        """
        if self.roster is None or self.own_seat is None:
            return False
        return self.is_roster_in_force or (
            self.own_seat in self.roster.previous
        )

    def _adopted(self, document: documents.Document) -> None:
        if document.name == CONFIG:
            self._adopt_configuration(document)
        elif document.name == KEYS:
            self.keyring.replace(document.body)
        elif document.name == DRAINS:
            self.draining_targets = frozenset(document.body["targets"])
        elif document.name == ROSTER:
            self.roster = rosters.from_body(document.version, document.body)
            self.is_roster_in_force = False
            self._settle_seat()

    def _adopt_configuration(self, document: documents.Document) -> None:
        loaded = folders.check_body(document.body["configuration"])
        if loaded.configuration is None:
            LOG.error(
                "fleet: configuration not understood",
                version=document.version,
                problems=[str(problem) for problem in loaded.problems],
            )
            return
        self.catalog.replace(loaded.configuration)
        self.shares.configure(
            {
                ids.TeamId(name): shares.Rate(
                    team.rate_tokens_per_s,
                    team.burst_tokens,
                )
                for name, team in loaded.configuration.teams.items()
            }
        )
        LOG.info("fleet: configuration adopted", version=document.version)
        self.metrics.gauge("config.version", document.version)
        for listener in self._config_listeners:
            listener()

    def _settle_seat(self) -> None:
        """Find the own seat anew; shares go with the seat."""
        if self.roster is None:
            return
        mine = next(
            (s for s in self.seats() if s.holder == self.instance),
            None,
        )
        seat = mine.id if mine is not None else None
        if seat != self.own_seat:
            LOG.info("fleet: seat changed", before=self.own_seat, seat=seat)
            self.shares.void()
        self.own_seat = seat
        self.freshness.hold_roster(self.roster, seat)
