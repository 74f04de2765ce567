"""Requests in flight on targets that crashed, and their refusal."""

import asyncio

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_daemon import targets as target_module
from cardamom_kernel import outcomes
from cardamom_kernel import tasks


class Suspects:
    """Scores requests when targets crash, and tells the other instances.

    Each score is sent once.  Scores that arise while others are being sent
    follow together in the next message.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        gossip: gossips.Gossip,
        target_registry: target_module.TargetRegistry,
        group: tasks.TaskGroup,
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._target_registry = target_registry
        self._group = group
        self._unpublished: set[str] = set()
        self._publishing = asyncio.Lock()
        target_registry.crash_listeners.append(self.score_interrupted)

    def refuse_if_crashing(self, fingerprint: str) -> None:
        """Raise RequestRefused for a request that crashed several targets."""
        if not self._fleet.suspicions.is_refused(fingerprint):
            return
        raise outcomes.RequestRefused(
            outcomes.Refusal(
                outcomes.Code.SUSPECT_REFUSED,
                "this request was running on several targets that crashed",
                outcomes.Step.ADMIT,
                not_run=True,
                retry_after_ms=self._fleet.suspicions.retry_after_ms(
                    fingerprint
                ),
            )
        )

    async def score_if_crashed(
        self,
        fingerprint: str,
        target: target_module.Target,
        incarnation: str,
    ) -> None:
        """Score a request if its target crashed, and wait for the others.

        This is done before a retry, so that the retry runs as a suspect.
        """
        if not incarnation or not await self._target_registry.has_crashed(
            target, incarnation
        ):
            return
        self._target_registry.mark_down(target)
        self._score(fingerprint, target, incarnation)
        self._fleet.metrics.count("models.suspects")
        await self.publish()

    def score_interrupted(
        self, target: target_module.Target, incarnation: str
    ) -> None:
        """Score the requests in flight on a target that crashed."""
        interrupted = [
            in_flight
            for in_flight in target.in_flight.values()
            if in_flight.incarnation == incarnation and in_flight.was_sent
        ]
        for in_flight in interrupted:
            self._score(in_flight.fingerprint, target, incarnation)
        if interrupted:
            self._group.run_in_background(self.publish())

    async def publish(self) -> None:
        """Send the scores that were not sent before, after those being sent.

        Returns when the other instances have answered.  A caller that is
        cancelled does not cut the message short.
        """
        await asyncio.shield(
            self._group.run_in_background(self._publish_unpublished())
        )

    async def _publish_unpublished(self) -> None:
        async with self._publishing:
            fingerprints, self._unpublished = self._unpublished, set()
            reports = [
                report
                for fingerprint in fingerprints
                if (report := self._fleet.suspicions.report(fingerprint))
            ]
            if reports:
                await self._gossip.send_to_all(
                    "/peer/v1/suspects", messages.Suspects(reports)
                )

    def _score(
        self, fingerprint: str, target: target_module.Target, incarnation: str
    ) -> None:
        suspicions = self._fleet.suspicions
        before = suspicions.report(fingerprint)
        suspicions.record_crash(fingerprint, f"{target.id}/{incarnation}")
        after = suspicions.report(fingerprint)
        if before is None or after is None or before.losses != after.losses:
            self._unpublished.add(fingerprint)
