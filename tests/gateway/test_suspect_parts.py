"""Tests of prompt parts that crash engines, in a stepped fleet."""

import dataclasses
import random

import pytest

from cardamom_gateway.fleet import suspect_reports
from cardamom_kernel import trait_suspicion
from tests.gateway import test_suspect_reports

BAD = "bad"
SHARED = ("first", "middle")
INSTANCES = 9
ENGINES = 6
STEP_MS = 50
DURATION_MS = 80_000
REQUEST_MS = 300
DOWN_MS = 3_000
DETECTION_MS = 300  # a crash is known after a pause and a probe
BAD_FRACTION = 0.2
REQUESTS_PER_STEP = 2
RESTARTED_MS = 9_000
# The operators count requests from this long after the fifth crash.
CONTACT_MS = 3_000
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3


@dataclasses.dataclass(frozen=True)
class Running:
    """A request in flight at an engine."""

    instance: str
    parts: tuple[str, ...]
    end_ms: int


class Engines:
    """Engines that crash when they begin to answer on the bad part."""

    def __init__(self, seed: int) -> None:
        self.fleet = test_suspect_reports.Fleet(
            INSTANCES, trait_suspicion.TraitSuspicions
        )
        self.random = random.Random(seed)
        self.up_at_ms = dict.fromkeys(range(ENGINES), 0)
        self.running: dict[int, list[Running]] = {
            engine: [] for engine in range(ENGINES)
        }
        self.crash_ms: list[int] = []
        self.bad_arrival_ms: list[int] = []
        self.refused_sound = 0
        self.finished_sound = 0
        self.pending_crashes: list[tuple[int, Running, str]] = []

    def step(self) -> None:
        """Begin requests, end those that are due, and report."""
        now_ms = self.fleet.clock.now_ms()
        for _ in range(REQUESTS_PER_STEP):
            self._begin(now_ms)
        for engine, running in self.running.items():
            for request in [r for r in running if r.end_ms <= now_ms]:
                if request in self.running[engine]:
                    self._end(engine, request, now_ms)
        due = [p for p in self.pending_crashes if p[0] <= now_ms]
        self.pending_crashes = [
            p for p in self.pending_crashes if p not in due
        ]
        for _, request, target in due:
            self._report_crash(request, target)
        if now_ms % suspect_reports.SEND_PERIOD_MS == 0:
            self._exchange()
        self.fleet.clock.step(STEP_MS)

    def _exchange(self) -> None:
        for name, instance in list(self.fleet.by_id.items()):
            instance.reports.send_pending()
            for other in instance.link.member_by_id:
                self.fleet.deliver(name, other, {"n": name})

    def _begin(self, now_ms: int) -> None:
        name = self.random.choice(list(self.fleet.by_id))
        is_bad = self.random.random() < BAD_FRACTION
        first, middle = SHARED
        parts = (first, BAD) if is_bad else (first, middle)
        suspicions = self.fleet.by_id[name].suspicions
        refused = [part for part in parts if suspicions.is_refused(part)]
        if refused and not self._is_trial(name, refused):
            self.refused_sound += not is_bad
            return
        up = [e for e in self.running if self.up_at_ms[e] <= now_ms]
        if not up:
            return
        if is_bad:
            self.bad_arrival_ms.append(now_ms)
        request = Running(name, parts, now_ms + REQUEST_MS)
        self.running[self.random.choice(up)].append(request)

    def _is_trial(self, name: str, refused: list[str]) -> bool:
        instance = self.fleet.by_id[name]
        suspicions = instance.suspicions
        assert isinstance(suspicions, trait_suspicion.TraitSuspicions)
        for part in refused:
            suspicions.note_refused(part)
        return all(
            instance.reports.is_first_owner(part)
            and suspicions.take_trial(part)
            for part in refused
        )

    def _end(self, engine: int, request: Running, now_ms: int) -> None:
        if BAD not in request.parts:
            self.running[engine].remove(request)
            self.finished_sound += 1
            for part in request.parts:
                reports = self.fleet.by_id[request.instance].reports
                reports.note_finished(part)
            return
        target = f"e{engine}@{now_ms}"
        self.crash_ms.append(now_ms)
        self.up_at_ms[engine] = now_ms + DOWN_MS
        self.pending_crashes += [
            (now_ms + DETECTION_MS, broken, target)
            for broken in self.running[engine]
        ]
        self.running[engine].clear()

    def _report_crash(self, request: Running, target: str) -> None:
        instance = self.fleet.by_id[request.instance]
        for part in request.parts:
            if instance.suspicions.record_crash(part, target):
                instance.reports.note_crash(part)


class TestBadPart:
    """A part under which every engine crashes, at any instance."""

    @pytest.mark.parametrize("seed", range(20))
    def test_few_requests_reach_engines_after_the_fifth_crash(
        self, seed: int
    ) -> None:
        """Instances that have just started would let it crash engines."""
        engines = Engines(seed)
        while engines.fleet.clock.now_ms() < DURATION_MS:
            engines.step()
            if engines.fleet.clock.now_ms() == RESTARTED_MS:
                for name in list(engines.fleet.by_id)[:4]:
                    engines.fleet.start(name, "2")
        counted_from_ms = engines.crash_ms[:COUNTED_CRASHES][-1] + CONTACT_MS
        late = [m for m in engines.bad_arrival_ms if m > counted_from_ms]
        assert len(late) <= MAX_LATE_REQUESTS
        assert engines.refused_sound <= engines.finished_sound / 20

    def test_crashes_put_down_to_a_sound_part_count_again(self) -> None:
        """The bad part's first crashes, before any answer, were forgotten."""
        fleet = test_suspect_reports.Fleet(
            INSTANCES, trait_suspicion.TraitSuspicions
        )
        shared, _ = SHARED
        first, second, third, *_ = fleet.by_id.values()

        def crash(
            instance: test_suspect_reports.Instance, target: str, *parts: str
        ) -> None:
            for part in parts:
                if instance.suspicions.record_crash(part, target):
                    instance.reports.note_crash(part)
            fleet.run()

        crash(first, "e1", shared, BAD)
        crash(first, "e2", shared, BAD)
        crash(second, "e3", shared)
        assert fleet.refusing(shared) == INSTANCES
        third.reports.note_finished(shared)
        fleet.run()
        assert fleet.refusing(shared) == 0
        crash(second, "e4", BAD)
        assert fleet.refusing(BAD) == INSTANCES
