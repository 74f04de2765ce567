"""A lease in the table whose fencing number protects orders.

Each acquisition increases the number, a renewal keeps it.  A holder relies on
its lease for ``ttl_ms`` from the moment at which it sent the last successful
renewal.  A contender takes over only after it has seen the row unchanged for
longer than that on its own clock, so the clocks of two machines are never
compared.
"""

import asyncio
import dataclasses
import enum
import typing

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import invariants
from cardamom_kernel import tables

LEASE_TTL_MS = 6_000
CLOCK_DRIFT_PERCENT = 10  # allowed difference in speed between two clocks
NO_HOLDER: tables.Body = {"holder": "", "number": 0}


class LeaseState(enum.Enum):
    """Who holds the lease, as far as this instance knows.

    UNREACHED means that the table could not be read.  OTHER also covers a
    write that failed, got no response, or is not allowed yet.
    """

    HELD = "held"
    OTHER = "other"
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True)
class Fence:
    """The right to send orders under a fencing number.

    Both times are readings of the holder's own clock: the lease is valid
    before ``until_ms`` and was acquired at ``acquired_ms``.
    """

    number: int
    until_ms: int
    acquired_ms: int


class Lease:
    """One named lease, for which one instance contends.

    ``seen_holder`` is the holder in the row that was read last: empty after
    a release, None as long as no row was read.  ``seen_note`` is the note
    that the last holder stored for its successor when it released the lease.
    For ``return_ms`` after a release only the same holder may take the lease
    again, so that a restarted process keeps it.  ``number_floor`` returns the
    highest fencing number that other instances have told of: a row with a
    lower one came back from an older copy, and a holder that it doesn't show
    may still rely on the lease.  ``told_unreached_ms`` returns the last time
    at which this instance told others that it can't reach the table: a holder
    may have extended the lease on the strength of it, see ``extend``.
    """

    def __init__(
        self,
        table: tables.Table,
        clock: clocks.Clock,
        name: str,
        holder: ids.InstanceId,
        ttl_ms: int = LEASE_TTL_MS,
        return_ms: int = 0,
        number_floor: typing.Callable[[], int] = lambda: 0,
        told_unreached_ms: typing.Callable[[], int] = lambda: clocks.NEVER_MS,
    ) -> None:
        self._table = table
        self._clock = clock
        self._key = f"lease/{name}"
        self._holder = holder
        self._ttl_ms = ttl_ms
        self._return_ms = return_ms
        self._number_floor = number_floor
        self._told_unreached_ms = told_unreached_ms
        self._highest_number = 0
        self._fence: Fence | None = None
        self._lock = asyncio.Lock()
        self._seen_version = -1
        self._seen_ms: int = clocks.NEVER_MS
        self.seen_holder: str | None = None
        self.seen_note: tables.Body = {}

    def fence(self) -> Fence | None:
        """Return the fence if the lease is held now, else None.

        It isn't held any more once a later holder is known.
        """
        fence = self._fence
        if fence is None or self._clock.now_ms() >= fence.until_ms:
            return None
        return None if fence.number < self._number_floor() else fence

    @property
    def drift_ms(self) -> int:
        """Return how long a contender waits beyond ``ttl_ms``."""
        return self._ttl_ms * CLOCK_DRIFT_PERCENT // 100

    def extend(self, until_ms: int) -> None:
        """Extend a held lease locally to ``until_ms``.

        Never shortens the lease, and does nothing if it is not held.  This
        is safe if every contender has told, no longer than ``ttl_ms`` before
        ``until_ms``, that it can't reach the table: each waits for a whole
        lease after the last time that it told so.
        """
        fence = self.fence()
        if fence is not None:
            self._fence = dataclasses.replace(
                fence, until_ms=max(fence.until_ms, until_ms)
            )

    async def contend(self) -> LeaseState:
        """Renew the lease, or take it over if its holder stopped renewing.

        Call it periodically.  Never raises TableUnavailable; the result then
        is UNREACHED.
        """
        async with self._lock:
            return await self._contend()

    async def _contend(self) -> LeaseState:
        try:
            rows = await self._table.read_latest([self._key])
        except tables.TableUnavailable:
            self._seen_version = -1  # the holder may be unable to renew, too
            return LeaseState.UNREACHED
        row = rows.get(self._key)
        if row is None and self._known_number():
            row = tables.Row(self._key, tables.ABSENT, NO_HOLDER)
        if row is not None and not self._may_write(row):
            return LeaseState.OTHER
        return await self._write(row)

    def _known_number(self) -> int:
        """Return the highest fencing number that was given out, as known."""
        return max(self._highest_number, self._number_floor())

    async def release(self, note: tables.Body | None = None) -> None:
        """Release the lease, so that a successor need not wait for its end.

        The note is stored for the successor as ``seen_note``.  Does nothing
        if the lease was not won.  A running ``contend`` completes first, so
        that a lease won in the meantime is not released with the earlier
        fencing number.  Never raises TableUnavailable.
        """
        async with self._lock:
            fence, self._fence = self._fence, None
            if fence is not None:
                await self._write_release(fence.number, note or {})

    async def _write_release(self, number: int, note: tables.Body) -> None:
        try:
            rows = await self._table.read_latest([self._key])
        except tables.TableUnavailable:
            return
        row = rows.get(self._key)
        if row is None or row.body["holder"] != self._holder:
            return
        if row.body["number"] == number:
            body = {
                "holder": "",
                "number": number,
                "released_by": self._holder,
                "note": note,
            }
            await self._table.commit(
                {self._key: row.version},
                {self._key: body},
            )

    def _may_write(self, row: tables.Row) -> bool:
        now_ms = self._clock.now_ms()
        self.seen_holder = row.body["holder"]
        self.seen_note = row.body.get("note", {})
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_ms = now_ms
        fence, number = self.fence(), int(row.body["number"])
        if fence is not None and number < fence.number:
            return True  # the row came back from an older copy
        if number < self._known_number():
            return self._is_expired(now_ms)
        self._highest_number = number
        if row.body["holder"] == self._holder:
            return True
        if not row.body["holder"]:
            is_return = row.body.get("released_by") == self._holder
            return is_return or now_ms - self._seen_ms >= self._return_ms
        self._fence = None
        return self._is_expired(now_ms)

    def _is_expired(self, now_ms: int) -> bool:
        """Return whether no other holder can rely on the lease any more."""
        since_ms = max(self._seen_ms, self._told_unreached_ms())
        return now_ms - since_ms >= self._ttl_ms + self.drift_ms

    async def _write(self, row: tables.Row | None) -> LeaseState:
        sent_ms = self._clock.now_ms()
        number = int(row.body["number"]) if row else 0
        current = self.fence()
        if current is not None and number < current.number:
            number = current.number
        if current is None or current.number != number:
            number = max(number, self._known_number()) + 1
            current = None
        body = {"holder": self._holder, "number": number}
        result = await self._table.commit(
            {self._key: row.version if row else tables.ABSENT},
            {self._key: body},
        )
        if not result.committed:
            return LeaseState.OTHER
        invariants.check(
            self._fence is None or number >= self._fence.number,
            "lease.number_grows",
            lease=self._key,
            number=number,
        )
        self._highest_number = number
        acquired_ms = current.acquired_ms if current else self._clock.now_ms()
        self._fence = Fence(number, sent_ms + self._ttl_ms, acquired_ms)
        return LeaseState.HELD
