"""The state that the tasks of one instance share."""

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
    """Return the table's row key for a document."""
    return f"document/{document}"


@dataclasses.dataclass
class Fleet:
    """The state of one instance, kept in memory only.

    The instance id includes a random boot id, since a restarted process has
    lost what it acknowledged before and must not vote as the same instance.
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
        self.transferred_seats: dict[ids.SeatId, rosters.Seat] = {}
        self.draining_targets: frozenset[str] = frozenset()
        self.leaving_targets: frozenset[str] = frozenset()
        self.is_draining = False
        self.is_roster_in_force = False
        self.documents.listen(self._apply_document)
        self._withdrawal_listeners: list[
            typing.Callable[[list[str]], None]
        ] = []
        self._config_listeners: list[typing.Callable[[], None]] = []

    def listen_withdrawals(
        self,
        listener: typing.Callable[[list[str]], None],
    ) -> None:
        """Call ``listener`` with the ids of keys once they are withdrawn."""
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
        """Withdraw keys at this instance; return the newly withdrawn ids."""
        added = self.withdrawn.merge(members, durable)
        if added:
            LOG.info("fleet: keys withdrawn", keys=added)
            for listener in self._withdrawal_listeners:
                listener(added)
        return added

    def is_fresh(self) -> bool:
        """Tell whether this instance may act on the state that it holds."""
        return self.freshness.is_fresh()

    def is_ready(self) -> bool:
        """Tell whether this instance should get callers' requests."""
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
        """Return a seat with its current holder, or None if unknown."""
        listed = self.roster.by_seat.get(seat) if self.roster else None
        transfer = self.transferred_seats.get(seat)
        if listed is None or transfer is None:
            return listed
        return transfer if transfer.generation > listed.generation else listed

    def seats(self) -> list[rosters.Seat]:
        """Return every seat with its current holder."""
        if self.roster is None:
            return []
        held = (self.seat_holder(seat) for seat in self.roster.by_seat)
        return [seat for seat in held if seat is not None]

    def update_seat(self, seat: rosters.Seat) -> None:
        """Adopt a seat's transfer if its generation is newer."""
        current = self.seat_holder(seat.id)
        if current is not None and seat.generation > current.generation:
            self.transferred_seats[seat.id] = seat
            self._update_own_seat()

    def may_hold_shares(self) -> bool:
        """Tell whether this instance's seat may hold and transfer shares.

        A seat that was added by the newest epoch has to wait until that
        epoch is in force, so that every reconciliation includes it.
        """
        if self.roster is None or self.own_seat is None:
            return False
        return self.is_roster_in_force or (
            self.own_seat in self.roster.previous
        )

    def _apply_document(self, document: documents.Document) -> None:
        """Apply a document that the store has adopted."""
        if document.name == CONFIG:
            self._apply_configuration(document)
        elif document.name == KEYS:
            self.keyring.replace(document.body)
        elif document.name == DRAINS:
            self.draining_targets = frozenset(document.body["targets"])
        elif document.name == ROSTER:
            self.roster = rosters.from_body(document.version, document.body)
            self.is_roster_in_force = False
            self._update_own_seat()

    def _apply_configuration(self, document: documents.Document) -> None:
        loaded = folders.check_body(
            document.body["configuration"], with_warnings=False
        )
        if loaded.configuration is None:
            LOG.error(
                "fleet: configuration not valid",
                version=document.version,
                problems=[problem.render() for problem in loaded.problems],
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

    def _update_own_seat(self) -> None:
        """Update this instance's seat; drop its shares if the seat changed."""
        if self.roster is None:
            return
        own = next(
            (seat for seat in self.seats() if seat.holder == self.instance),
            None,
        )
        seat_id = own.id if own is not None else None
        if seat_id != self.own_seat:
            LOG.info("fleet: seat changed", before=self.own_seat, seat=seat_id)
            self.shares.drop_all_units()
        self.own_seat = seat_id
        self.freshness.set_roster(self.roster, seat_id)
