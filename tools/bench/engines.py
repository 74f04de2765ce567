"""Simulated engines and weight store, advanced in steps of STEP_MS."""

import dataclasses

from tools.bench import workload

STEP_MS = 20
BASE_TOKEN_INTERVAL_MS = 10.0
TOKEN_INTERVAL_MS_PER_REQUEST = 0.9
PREFILL_TOKENS_PER_MS = 8.0
CACHED_PREFILL_FRACTION = 0.1
PREFIX_CACHE_ENTRIES = 48
LOAD_OVERHEAD_MS = 300
LOAD_MB_PER_MS = 12.0
ADAPTER_LOAD_MS = 10
SLOTS = 32

# A model and its adapter; the adapter is empty for the model itself.
ResidentName = tuple[str, str]


@dataclasses.dataclass
class Resident:
    """A model or adapter that an engine holds or loads."""

    memory_mb: int
    version: str
    ready_ms: float
    load_ordered_ms: float


class Engine:
    """A simulated engine with its memory, batch and prefix cache."""

    def __init__(self, name: str, data_centre: str, memory_mb: int) -> None:
        self.id = name
        self.data_centre = data_centre
        self.memory_mb = memory_mb
        self.residents: dict[ResidentName, Resident] = {}
        self.running: list[workload.Request] = []
        self.prefixes: dict[str, None] = {}
        self.is_up = True
        self.overcommits = 0
        self.up_since_ms = -60_000

    def used_mb(self) -> int:
        """Return the memory in use in MB, including loads in progress."""
        return sum(resident.memory_mb for resident in self.residents.values())

    def is_ready(self, model: str, adapter: str, now_ms: float) -> bool:
        """Return whether a model and its adapter are loaded."""
        names = {(model, ""), (model, adapter)}
        return self.is_up and all(
            name in self.residents and self.residents[name].ready_ms <= now_ms
            for name in names
        )

    def load(self, name: ResidentName, resident: Resident) -> None:
        """Start a load; count it if it exceeds the memory."""
        self.residents[name] = resident
        if self.used_mb() > self.memory_mb:
            self.overcommits += 1

    def unload(self, name: ResidentName) -> None:
        """Unload a model with its adapters, or a single adapter."""
        model, adapter = name
        removed = [
            resident_name
            for resident_name in self.residents
            if resident_name == name
            or (not adapter and resident_name[0] == model)
        ]
        for resident_name in removed:
            del self.residents[resident_name]

    def start(self, request: workload.Request) -> None:
        """Add a request to the batch."""
        is_cached = request.prefix in self.prefixes
        prefill_fraction = CACHED_PREFILL_FRACTION if is_cached else 1.0
        request.remaining_prefill_ms = (
            request.prompt_tokens * prefill_fraction / PREFILL_TOKENS_PER_MS
        )
        self.prefixes.pop(request.prefix, None)
        self.prefixes[request.prefix] = None
        if len(self.prefixes) > PREFIX_CACHE_ENTRIES:
            del self.prefixes[next(iter(self.prefixes))]
        self.running.append(request)

    def step(self, now_ms: int) -> list[workload.Request]:
        """Advance the batch by a step; return the finished requests."""
        if not self.is_up:
            return []
        between_tokens_ms = (
            BASE_TOKEN_INTERVAL_MS
            + TOKEN_INTERVAL_MS_PER_REQUEST * len(self.running)
        )
        finished: list[workload.Request] = []
        for request in self.running:
            decode_ms = STEP_MS - request.remaining_prefill_ms
            request.remaining_prefill_ms = max(0.0, -decode_ms)
            if decode_ms <= 0:
                continue
            if request.first_token_at_ms is None:
                request.first_token_at_ms = now_ms + STEP_MS
            request.produced_tokens += decode_ms / between_tokens_ms
            if request.produced_tokens >= request.answer_tokens:
                request.completed_at_ms = now_ms + STEP_MS
                finished.append(request)
        if finished:
            finished_ids = set(map(id, finished))
            self.running = [
                r for r in self.running if id(r) not in finished_ids
            ]
        return finished

    def crash(self) -> list[workload.Request]:
        """Clear memory and batch; return the requests that ran."""
        aborted, self.running = self.running, []
        self.residents.clear()
        self.prefixes.clear()
        self.is_up = False
        return aborted


class WeightStore:
    """Limits how often loads start; loads beyond its capacity slow down."""

    def __init__(self, loads_per_s: float, concurrent: int) -> None:
        self._start_interval_ms = 1000.0 / loads_per_s
        self._concurrent_loads = concurrent
        self._next_start_ms = 0.0
        self._load_ends_ms: list[float] = []

    def schedule_load(self, memory_mb: int, now_ms: float) -> float:
        """Schedule a load and return the time when it completes."""
        self._load_ends_ms = [
            end_ms for end_ms in self._load_ends_ms if end_ms > now_ms
        ]
        start_ms = max(now_ms, self._next_start_ms)
        self._next_start_ms = start_ms + self._start_interval_ms
        slowdown = max(1.0, len(self._load_ends_ms) / self._concurrent_loads)
        duration_ms = LOAD_OVERHEAD_MS + memory_mb / LOAD_MB_PER_MS * slowdown
        self._load_ends_ms.append(start_ms + duration_ms)
        return start_ms + duration_ms


def capacity_requests_per_s(engines: int, between_tokens_ms: float) -> float:
    """Return the requests/s that all engines can serve in time.

    ``between_tokens_ms`` is the longest interval allowed between tokens.
    """
    batch = min(
        SLOTS,
        (between_tokens_ms - BASE_TOKEN_INTERVAL_MS)
        / TOKEN_INTERVAL_MS_PER_REQUEST,
    )
    duration_s = workload.MEAN_ANSWER_TOKENS * between_tokens_ms / 1000
    duration_s += workload.MEAN_PROMPT_TOKENS / PREFILL_TOKENS_PER_MS / 1000
    return engines * batch / duration_s


def answer_tokens_per_s(between_tokens_ms: float) -> float:
    """Return the answer tokens/s that one engine can serve in time."""
    batch = min(
        SLOTS,
        (between_tokens_ms - BASE_TOKEN_INTERVAL_MS)
        / TOKEN_INTERVAL_MS_PER_REQUEST,
    )
    return batch * 1000 / between_tokens_ms
