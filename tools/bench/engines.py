"""Small fakes of engines and of the weight store, on a stepped clock."""

import dataclasses

from tools.bench import workload

STEP_MS = 20
BASE_BETWEEN_MS = 10.0
PER_RUNNING_MS = 0.9
PREFILL_PER_MS = 8.0
CACHED_PREFILL_PART = 0.1
CACHED_PREFIXES = 48
LOAD_FIXED_MS = 300
LOAD_MB_PER_MS = 12.0
ADAPTER_LOAD_MS = 10
SLOTS = 32

Name = tuple[str, str]


@dataclasses.dataclass
class Held:
    """A resident and when it is, or was, ready."""

    memory_mb: int
    version: str
    ready_ms: float
    since_ms: float


class Engine:
    """One engine: memory, a batch, and a prefix cache."""

    def __init__(self, name: str, data_centre: str, memory_mb: int) -> None:
        self.id = name
        self.data_centre = data_centre
        self.memory_mb = memory_mb
        self.by_name: dict[Name, Held] = {}
        self.running: list[workload.Request] = []
        self.prefixes: dict[str, None] = {}
        self.is_up = True
        self.overcommits = 0
        self.up_since_ms = -60_000

    def used_mb(self) -> int:
        """Return the memory taken, loads in progress included."""
        return sum(held.memory_mb for held in self.by_name.values())

    def is_ready(self, model: str, adapter: str, now_ms: float) -> bool:
        """Tell whether a model with its adapter can answer."""
        names = {(model, ""), (model, adapter)}
        return self.is_up and all(
            name in self.by_name and self.by_name[name].ready_ms <= now_ms
            for name in names
        )

    def load(self, name: Name, held: Held) -> None:
        """Begin to load; an overcommit is counted."""
        self.by_name[name] = held
        if self.used_mb() > self.memory_mb:
            self.overcommits += 1

    def unload(self, name: Name) -> None:
        """Drop a model with its adapters, or one adapter."""
        model, adapter = name
        gone = [
            one
            for one in self.by_name
            if one == name or (not adapter and one[0] == model)
        ]
        for one in gone:
            del self.by_name[one]

    def start(self, request: workload.Request) -> None:
        """Put a request into the batch."""
        cached = request.prefix in self.prefixes
        part = CACHED_PREFILL_PART if cached else 1.0
        request.prefill_left_ms = request.prompt_tokens * part / PREFILL_PER_MS
        self.prefixes.pop(request.prefix, None)
        self.prefixes[request.prefix] = None
        if len(self.prefixes) > CACHED_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]
        self.running.append(request)

    def step(self, now_ms: int) -> list[workload.Request]:
        """Advance the batch by a step; returns what has finished."""
        if not self.is_up:
            return []
        between_ms = BASE_BETWEEN_MS + PER_RUNNING_MS * len(self.running)
        finished: list[workload.Request] = []
        for request in self.running:
            spare_ms = STEP_MS - request.prefill_left_ms
            request.prefill_left_ms = max(0.0, -spare_ms)
            if spare_ms <= 0:
                continue
            if request.first_ms is None:
                request.first_ms = now_ms + STEP_MS
            request.produced += spare_ms / between_ms
            if request.produced >= request.answer_tokens:
                request.done_ms = now_ms + STEP_MS
                finished.append(request)
        if finished:
            done = set(map(id, finished))
            self.running = [r for r in self.running if id(r) not in done]
        return finished

    def crash(self) -> list[workload.Request]:
        """Lose memory and batch; returns what was running."""
        lost, self.running = self.running, []
        self.by_name.clear()
        self.prefixes.clear()
        self.is_up = False
        return lost


class WeightStore:
    """Paces loads by rate, and slows them when crowded."""

    def __init__(self, loads_per_s: float, concurrent: int) -> None:
        self._interval_ms = 1000.0 / loads_per_s
        self._concurrent = concurrent
        self._next_ms = 0.0
        self._ends_ms: list[float] = []

    def ready_ms(self, memory_mb: int, now_ms: float) -> float:
        """Return when a load that is ordered now will be done."""
        self._ends_ms = [end for end in self._ends_ms if end > now_ms]
        start_ms = max(now_ms, self._next_ms)
        self._next_ms = start_ms + self._interval_ms
        crowding = max(1.0, len(self._ends_ms) / self._concurrent)
        took_ms = LOAD_FIXED_MS + memory_mb / LOAD_MB_PER_MS * crowding
        self._ends_ms.append(start_ms + took_ms)
        return start_ms + took_ms


def capacity_per_s(engines: int, between_ms: float) -> float:
    """Return the requests a second that all engines carry in time."""
    batch = min(SLOTS, (between_ms - BASE_BETWEEN_MS) / PER_RUNNING_MS)
    duration_s = workload.ANSWER_TOKENS * between_ms / 1000
    duration_s += workload.PROMPT_TOKENS / PREFILL_PER_MS / 1000
    return engines * batch / duration_s


def answer_tokens_per_s(between_ms: float) -> float:
    """Return the answer tokens a second that one engine carries in time."""
    batch = min(SLOTS, (between_ms - BASE_BETWEEN_MS) / PER_RUNNING_MS)
    return batch * 1000 / between_ms
