"""Synchronises documents and withdrawals with the table."""

import typing

import structlog

from cardamom_daemon import fleet as fleets
from cardamom_kernel import documents
from cardamom_kernel import invariants
from cardamom_kernel import tables

LOG = structlog.get_logger("cardamom.table")

VERSION_FIELD = "version"
MAX_WRITE_ATTEMPTS = 4


class TableSync:
    """Reads the table's changes and writes what the table lacks."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._row_version_by_key: dict[str, int] = {}
        self._table_version_by_document: dict[str, int] = {}
        self.is_reached = False

    async def poll(self) -> bool:
        """Adopt the rows that have changed in the table.

        Returns whether the table answered. The read is linearizable, so it
        confirms freshness as of its start once all changes are adopted.
        """
        fleet = self._fleet
        sent_ms = fleet.clock.now_ms()
        keys = [fleets.row_key(name) for name in fleets.DOCUMENTS]
        keys.append(fleets.WITHDRAWN_KEY)
        conditions = {
            key: self._row_version_by_key.get(key, tables.ABSENT)
            for key in keys
        }
        result = await fleet.table.commit(conditions, {})
        was_reached, self.is_reached = (
            self.is_reached,
            result.state is not tables.CommitState.UNKNOWN,
        )
        if was_reached != self.is_reached:
            LOG.info("table: reached" if self.is_reached else "table: lost")
        if not self.is_reached:
            fleet.metrics.count("table.unreached")
            return False
        for key, row in result.by_key.items():
            self._adopt_row(key, row)
        fleet.freshness.confirm_table(sent_ms)
        await self._write_back()
        return True

    async def write_document(
        self,
        name: str,
        body: typing.Mapping[str, typing.Any],
        base_version: int,
    ) -> tables.CommitState:
        """Write a document's next version if the row is as last read.

        After UNKNOWN the write may have taken effect; the caller has to find
        out.
        """
        key = fleets.row_key(name)
        version = base_version + 1
        expected = self._row_version_by_key.get(key, tables.ABSENT)
        result = await self._fleet.table.commit(
            {key: expected},
            {key: {**body, VERSION_FIELD: version}},
        )
        if result.committed:
            self._row_version_by_key[key] = expected + 1
            self._table_version_by_document[name] = version
            document = documents.Document(name, version, dict(body))
            self._fleet.documents.adopt(document)
        return result.state

    async def _write_back(self) -> None:
        if self._fleet.withdrawn.pending():
            await self.write_withdrawals()
        for name in fleets.DOCUMENTS:
            await self._restore(name)

    async def write_withdrawals(self) -> bool:
        """Write withdrawals to the table; return whether all are durable."""
        fleet = self._fleet
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not fleet.withdrawn.pending():
                return True
            members = fleet.withdrawn.members()
            version = self._row_version_by_key.get(
                fleets.WITHDRAWN_KEY,
                tables.ABSENT,
            )
            result = await fleet.table.commit(
                {fleets.WITHDRAWN_KEY: version},
                {fleets.WITHDRAWN_KEY: {"keys": members}},
            )
            if result.committed:
                fleet.withdraw(members, durable=True)
                return not fleet.withdrawn.pending()
            if result.state is tables.CommitState.UNKNOWN:
                return False
            for key, row in result.by_key.items():
                self._adopt_row(key, row)
        return False

    async def _restore(self, name: str) -> None:
        """Write a document back if the table has an older version.

        A table that was restored from a backup must not lose an accepted
        change. A similar fault is Couchbase's MB-34150: a promoted replica
        lacked writes that had been acknowledged.
        """
        document = self._fleet.documents.get(name)
        key = fleets.row_key(name)
        if (
            document is None
            or document.version <= self._table_version_by_document.get(name, 0)
        ):
            return
        LOG.warning(
            "table: document is older than accepted",
            document=name,
            version=document.version,
        )
        self._fleet.metrics.count("table.behind")
        await self._fleet.table.commit(
            {key: self._row_version_by_key.get(key, tables.ABSENT)},
            {key: {**document.body, VERSION_FIELD: document.version}},
        )

    def _adopt_row(self, key: str, row: tables.Row) -> None:
        """Adopt a document or the withdrawals from a row that was read."""
        last_version = self._row_version_by_key.get(key, tables.ABSENT)
        if row.version < last_version:
            LOG.warning(
                "table: row version decreased", row=key, version=row.version
            )
        self._row_version_by_key[key] = row.version
        if key == fleets.WITHDRAWN_KEY:
            self._fleet.withdraw(row.body["keys"], durable=True)
            return
        name = key.partition("/")[2]
        body = dict(row.body)
        version = int(body.pop(VERSION_FIELD))
        self._table_version_by_document[name] = version
        previous_version = self._fleet.documents.version(name)
        self._fleet.documents.adopt(documents.Document(name, version, body))
        invariants.check(
            self._fleet.documents.version(name) >= previous_version,
            "document.never_reverts",
            document=name,
            version=version,
        )
