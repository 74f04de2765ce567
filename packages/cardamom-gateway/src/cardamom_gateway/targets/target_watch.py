"""Detection of targets that are silent or crash during a request."""

import typing

import structlog

from cardamom_kernel import clocks
from cardamom_kernel import tasks

from cardamom_gateway.requests import attempts
from cardamom_gateway import state as state_module
from cardamom_gateway.targets import reachability
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway")

SILENT_MS = 900  # silence of a target with running requests, before a probe
# A sound target may be silent for so long and go on.
MAX_SILENCE_MS = 1_500
BROKEN_PROBE_DELAY_MS = 150  # a crashed target refuses connections by then


class TargetWatch:
    """Probes targets that may have failed.

    ``on_crash`` is called with the fingerprint of a request that was in
    flight when its target crashed, and ``on_part_crash`` with the digest of
    each part of its prompt that may be the cause.
    """

    def __init__(
        self,
        state: state_module.GatewayState,
        client: attempts.TargetClient,
        group: tasks.TaskGroup,
        reachable: reachability.Reachability,
        on_crash: typing.Callable[[str], None],
        on_part_crash: typing.Callable[[str], None],
    ) -> None:
        self._state = state
        self._clock = state.clock
        self._client = client
        self._group = group
        self._reachability = reachable
        self._on_crash = on_crash
        self._on_part_crash = on_part_crash

    async def check_targets(self) -> None:
        """Probe silent targets; drop expired targets and stale counts."""
        self._state.targets.drop_expired()
        now_ms = self._clock.now_ms()
        for record in list(self._state.targets.by_id.values()):
            silent = [
                attempt
                for attempt in record.attempts
                if now_ms - attempt.started_ms > SILENT_MS
                and now_ms - attempt.last_read_ms > SILENT_MS
            ]
            if silent and now_ms - record.last_answer_ms > SILENT_MS:
                self._group.run_in_background(self._probe_silent(record))
        self._state.rates.drop_stale_peers(now_ms)
        self._state.requests.drop_stale_peers(now_ms)
        self._state.retries.drop_stale_peers(now_ms)

    async def _probe_silent(self, record: target_records.TargetRecord) -> None:
        """Give up a target's requests if it does not answer probes.

        A target that peers reach is not silent: the link from here is broken,
        and its requests are given up at once.  So are calls that may simply
        be repeated; others outlast a silence of MAX_SILENCE_MS.
        """
        started_ms = self._clock.now_ms()
        if not record.is_relayed and await self._client.probe(record):
            record.unreached_since_ms = clocks.FOREVER_MS
            return
        record.unreached_since_ms = min(record.unreached_since_ms, started_ms)
        was_relayed = record.is_relayed
        is_reached = await self._reachability.is_reached_by_peers(record)
        if is_reached and was_relayed:
            self._give_up_silent_relays(record)
            return
        if is_reached and await self._client.probe(record):
            return  # the silence has just ended
        now_ms = self._clock.now_ms()
        record.record_connect_failure(now_ms)
        is_over = (
            is_reached or now_ms - record.unreached_since_ms >= MAX_SILENCE_MS
        )
        given_up = [
            attempt
            for attempt in record.attempts
            if is_over or not attempt.outlasts_silence
        ]
        LOG.warning(
            "gateway: target silent",
            target=record.target.id,
            requests=len(record.attempts),
            given_up=len(given_up),
        )
        for attempt in given_up:
            attempt.give_up()

    def _give_up_silent_relays(
        self, record: target_records.TargetRecord
    ) -> None:
        """Give up requests whose relay is no longer heard of."""
        for attempt in list(record.attempts):
            if attempt.relay is not None and not (
                self._reachability.is_heard(attempt.relay)
            ):
                attempt.give_up()

    def on_broken_attempt(self, attempt: attempts.Attempt) -> None:
        """Probe the target of an attempt that broke after it was sent."""
        self._group.run_in_background(self._probe_broken(attempt))

    async def _probe_broken(self, attempt: attempts.Attempt) -> None:
        """Record a loss for the request if its target has crashed.

        A peer that doesn't reach it either shows that, or this instance's
        connections to other targets: otherwise only the link from here may be
        broken.
        """
        accused = (
            attempt.part_digests if attempt.may_have_crashed_target else ()
        )
        await self._clock.sleep_ms(BROKEN_PROBE_DELAY_MS)
        record = attempt.record
        if await self._client.probe(record):
            return
        record.record_connect_failure(self._clock.now_ms())
        status = await self._reachability.determine_status(record)
        if status is not reachability.TargetStatus.DOWN:
            LOG.info(
                "gateway: no crash recorded for a broken request",
                target=record.target.id,
                request=attempt.fingerprint,
                status=status.value,
            )
            return
        losses = self._state.suspicions.record_crash(
            attempt.fingerprint, record.target.incarnation
        )
        LOG.warning(
            "gateway: target lost under a request",
            target=record.target.id,
            request=attempt.fingerprint,
            losses=losses,
            prompt_parts=accused,
        )
        self._on_crash(attempt.fingerprint)
        for part in accused:
            if self._state.part_suspicions.record_crash(
                part, record.target.incarnation
            ):
                self._on_part_crash(part)
