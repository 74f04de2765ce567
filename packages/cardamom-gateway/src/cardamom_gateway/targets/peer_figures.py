"""How stale the load is that the other instances have reported."""

import dataclasses

from cardamom_kernel import clocks
from cardamom_policy import even_load

from cardamom_gateway.targets import target_records

# A summary is used for so long; the ages go on in between.
SUMMARY_PERIOD_MS = 100


@dataclasses.dataclass(frozen=True)
class _Report:
    data_centre: str
    at_ms: int


@dataclasses.dataclass(frozen=True)
class _Summary:
    others: int
    mean_at_ms: float


class PeerFigures:
    """When each other instance last reported its load on targets.

    Peers of other data centres are left out while the own one has targets:
    they send there only what their own targets can't take.
    """

    def __init__(self, clock: clocks.Clock, data_centre: str) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._report_by_peer: dict[str, _Report] = {}
        self._summary_by_reach: dict[bool, _Summary] = {}
        self._summary_ms: int = clocks.NEVER_MS

    def note(self, peer: str, data_centre: str, at_ms: int) -> None:
        """Record that a peer's load at a time has arrived."""
        self._report_by_peer[peer] = _Report(data_centre, at_ms)

    def figures(self, is_local: bool) -> even_load.Figures:
        """Return how stale the load is, of local targets or of all."""
        now_ms = self._clock.now_ms()
        if now_ms - self._summary_ms >= SUMMARY_PERIOD_MS:
            self._summarize(now_ms)
        summary = self._summary_by_reach[is_local]
        if not summary.others:
            return even_load.EXACT
        return even_load.Figures(
            summary.others, max(0.0, now_ms - summary.mean_at_ms)
        )

    def _summarize(self, now_ms: int) -> None:
        self._report_by_peer = {
            peer: report
            for peer, report in self._report_by_peer.items()
            if now_ms - report.at_ms <= target_records.MAX_PEER_LOAD_AGE_MS
        }
        self._summary_ms = now_ms
        reports = list(self._report_by_peer.values())
        local = [r for r in reports if r.data_centre == self._data_centre]
        self._summary_by_reach = {
            True: _summary(local),
            False: _summary(reports),
        }


def _summary(reports: list[_Report]) -> _Summary:
    if not reports:
        return _Summary(0, 0.0)
    return _Summary(
        len(reports), sum(report.at_ms for report in reports) / len(reports)
    )
