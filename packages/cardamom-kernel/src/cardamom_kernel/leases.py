"""A lease in the table whose number fences orders.

Each change of holder raises the number.  A holder trusts its lease for
``ttl_ms`` from the moment at which the last successful renewal was sent.  A
contender takes over only after it has watched the same row for longer than
that on its own clock, so the clocks of two machines are never compared.
"""

import asyncio
import dataclasses
import enum

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_kernel import invariants
from cardamom_kernel import tables

LEASE_TTL_MS = 6_000
DRIFT_PERCENT = 10


class LeaseState(enum.Enum):
    """Whose lease it is, as this instance sees it."""

    HELD = "held"
    OTHER = "other"
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True)
class Fence:
    """The right to send orders under a number until a moment."""

    number: int
    until_ms: int
    acquired_ms: int


class Lease:
    """One named lease, as one instance contends for it.

    ``seen_holder`` is the holder in the row that was read last, empty after
    a release, None if there was no row.  ``seen_note`` is what the holder
    that released it left for its successor.  Within ``return_ms`` of a
    release only the holder that gave it up takes it again, as a process that
    is restarted does.
    """

    def __init__(
        self,
        table: tables.Table,
        clock: clocks.Clock,
        name: str,
        holder: ids.InstanceId,
        ttl_ms: int = LEASE_TTL_MS,
        return_ms: int = 0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._key = f"lease/{name}"
        self._holder = holder
        self._ttl_ms = ttl_ms
        self._return_ms = return_ms
        self._fence: Fence | None = None
        self._lock = asyncio.Lock()
        self._seen_version = -1
        self._seen_ms: int = clocks.NEVER_MS
        self.seen_holder: str | None = None
        self.seen_note: tables.Body = {}

    def fence(self) -> Fence | None:
        """Return the fence if the lease is held at this very moment."""
        fence = self._fence
        if fence is None or self._clock.now_ms() >= fence.until_ms:
            return None
        return fence

    @property
    def drift_ms(self) -> int:
        """Return for how long a contender waits beyond a lease's end."""
        return self._ttl_ms * DRIFT_PERCENT // 100

    def extend(self, duration_ms: int) -> None:
        """Trust a held lease for longer, from now.

        Only for a holder that knows that no contender reaches the table.
        """
        fence = self.fence()
        if fence is not None:
            until_ms = self._clock.now_ms() + duration_ms
            self._fence = dataclasses.replace(
                fence, until_ms=max(fence.until_ms, until_ms)
            )

    async def contend(self) -> LeaseState:
        """Renew the lease, or take it over if its holder has gone quiet."""
        async with self._lock:
            return await self._contend()

    async def _contend(self) -> LeaseState:
        try:
            rows = await self._table.read_latest([self._key])
        except tables.TableUnavailable:
            self._seen_version = -1  # the holder may be out of touch as well
            return LeaseState.UNREACHED
        row = rows.get(self._key)
        if row is not None and not self._may_write(row):
            return LeaseState.OTHER
        return await self._write(row)

    async def release(self, note: tables.Body | None = None) -> None:
        """Give the lease up, so that a successor need not wait for its end.

        The note is for the successor.  A contention that is under way ends
        first: a lease won meanwhile must not be released under the number of
        the one before.
        """
        async with self._lock:
            fence, self._fence = self._fence, None
            if fence is not None:
                await self._give_up(fence.number, note or {})

    async def _give_up(self, number: int, note: tables.Body) -> None:
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
        if row.body["holder"] == self._holder:
            return True
        if not row.body["holder"]:
            is_return = row.body.get("released_by") == self._holder
            return is_return or now_ms - self._seen_ms >= self._return_ms
        self._fence = None
        return now_ms - self._seen_ms >= self._ttl_ms + self.drift_ms

    async def _write(self, row: tables.Row | None) -> LeaseState:
        sent_ms = self._clock.now_ms()
        number = int(row.body["number"]) if row else 0
        renewed = self.fence()
        if renewed is None or renewed.number != number:
            number += 1
            renewed = None
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
        acquired_ms = renewed.acquired_ms if renewed else self._clock.now_ms()
        self._fence = Fence(number, sent_ms + self._ttl_ms, acquired_ms)
        return LeaseState.HELD
