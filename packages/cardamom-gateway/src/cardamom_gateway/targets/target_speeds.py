"""Learns the paces of targets from answers, and shares slow ones."""

import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import ids
from cardamom_policy import dispatching
from cardamom_policy import speeds

from cardamom_gateway import metrics as metrics_module
from cardamom_gateway import model
from cardamom_gateway.requests import attempts
from cardamom_gateway.targets import target_records
from cardamom_gateway.targets import target_registry

LOG = structlog.get_logger("cardamom.gateway.speeds")

# Field of state updates; ``w`` is that of forwarded broadcasts.
FIELD = "sp"


class TargetSpeeds:
    """The paces of all targets, as far as this instance knows them.

    ``has_lagged`` returns whether the event loop has been late since a time,
    so that first events may have waited here to be read.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        targets: target_registry.TargetRegistry,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._metrics = metrics
        self.has_lagged: typing.Callable[[int], bool] = lambda since_ms: False
        self._common: dict[
            tuple[model.ServiceId, speeds.Kind], speeds.CommonRatio
        ] = {}
        # Those that may be slow, so that no update visits all targets.
        self._slow: set[tuple[ids.TargetId, speeds.Kind]] = set()

    def watch(
        self,
        attempt: attempts.Attempt,
        kind: speeds.Kind | None,
        choice: dispatching.Choice,
    ) -> None:
        """Learn from the first event of an attempt that goes directly."""
        if kind is None or attempt.relay is not None:
            return
        attempt.on_first_event = lambda sent_ms, has_come: self._learn(
            attempt.record, kind, choice, sent_ms, has_come
        )

    def _learn(
        self,
        record: target_records.TargetRecord,
        kind: speeds.Kind,
        choice: dispatching.Choice,
        sent_ms: int,
        has_come: bool,
    ) -> None:
        now_ms = self._clock.now_ms()
        if self.has_lagged(sent_ms):
            return
        ratio = speeds.ratio(now_ms - sent_ms, choice.unpaced_ms)
        common = self._common.setdefault(
            (record.target.service, kind), speeds.CommonRatio()
        )
        pace = record.pace_by_kind[kind]
        was_slow = pace.factor(now_ms) > 1
        if has_come:
            self._metrics.prediction_ratio.labels(kind.value).observe(ratio)
            pace.note(common.note(ratio), now_ms)
        elif common.remove_from(ratio) >= speeds.MIN_SLOW_PACE:
            # The answer has not come by now, so the target is at least as
            # slow as this; a shorter wait says nothing.
            pace.note(common.remove_from(ratio), now_ms)
        if pace.learned(now_ms).pace >= speeds.MIN_SLOW_PACE:
            self._slow.add((record.target.id, kind))
        factor = pace.factor(now_ms)
        if factor > 1 and not was_slow:
            self._metrics.slow_targets.labels(
                record.target.service, kind.value
            ).inc()
            LOG.info(
                "speeds: slow",
                target=record.target.id,
                kind=kind.value,
                pace=round(factor, 1),
                predicted_ms=round(choice.unpaced_ms),
                took_ms=now_ms - sent_ms,
            )

    def export(self) -> dict[str, typing.Any]:
        """Return the slowest paces that own answers have shown, for peers."""
        now_ms = self._clock.now_ms()
        report_by_key = {
            (target_id, kind): self._targets.by_id[target_id]
            .pace_by_kind[kind]
            .learned(now_ms)
            for target_id, kind in self._slow
            if target_id in self._targets.by_id
        }
        self._slow = {
            key
            for key, report in report_by_key.items()
            if report.pace >= speeds.MIN_SLOW_PACE
        }
        fields: dict[str, typing.Any] = {}
        for (target_id, kind), report in speeds.slowest(report_by_key).items():
            started_ms = self._targets.by_id[target_id].target.started_ms
            fields.setdefault(target_id, [started_ms]).append(
                [
                    kind.value,
                    round(report.pace, 1),
                    report.answers,
                    now_ms - report.at_ms,
                ]
            )
        return fields

    def receive(
        self, peer: str, update: dict[str, typing.Any], age_ms: int
    ) -> None:
        """Apply the paces that a peer reports, on their way for some ms.

        Raises KeyError, IndexError, TypeError or ValueError if they are
        malformed.
        """
        at_ms = self._clock.now_ms() - age_ms
        for target_id, fields in update.get(FIELD, {}).items():
            record = self._targets.by_id.get(ids.TargetId(target_id))
            started_ms, *reports = fields
            if record is None or record.target.started_ms != started_ms:
                continue
            for kind, pace, answers, answer_age_ms in reports:
                report = speeds.Report(
                    float(pace), int(answers), at_ms - int(answer_age_ms)
                )
                record.pace_by_kind[speeds.Kind(kind)].receive(
                    peer, report, at_ms
                )


def kind_of(service: model.Service, route: model.Route) -> speeds.Kind | None:
    """Return which pace an answer shows, None for none.

    A whole answer of an engine comes at its last token, which no prediction
    of first events tells.
    """
    is_stream = route.kind is model.CallKind.STREAM
    if service.engine is None:
        return None if is_stream else speeds.Kind.PLAIN
    return speeds.Kind.STREAM if is_stream else None
