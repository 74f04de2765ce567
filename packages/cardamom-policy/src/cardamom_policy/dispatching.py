"""The choice of a replica by the predicted time to the first event.

To handle bursts of long prompts, load is measured in prompt tokens that a
replica must prefill before a request, not in requests.  Prompt parts in a
replica's prefix cache need no prefill there, so sessions return to it unless
it is much more loaded than the others.  Replicas whose order by cost the age
of the figures leaves open are chosen at random, see ``even_load``.
"""

import dataclasses
import itertools
import random
import typing

from cardamom_kernel import ids

from cardamom_policy import even_load

PREFILL_TOKENS_PER_MS = 22.0  # prefill rate of the engines in use
DELAY_MS_PER_RUNNING_REQUEST = 0.9  # delay of a first event by each request
# Time that a replica in another data centre must save to be chosen.
REMOTE_COST_MS = 80.0
# Time that a replica must save to be chosen if requests go through a peer.
RELAY_COST_MS = 20.0
# Part of the objective within which a local replica goes before any other.
LOCAL_OBJECTIVE_FRACTION = 0.4
ADAPTER_LOAD_MS = 25.0  # time of an adapter's load, including its order
# Time until a replica that unloads a model accepts the load of an adapter; the
# unload waits for running streams.
UNLOAD_MS = 800.0
FAILURE_COST_MS = 400.0  # cost of a replica whose recent requests all failed
PLAIN_CALL_MS = 90.0  # run time of a plain call
# A replica is near-equal to the cheapest only if the part of its cost that
# doesn't depend on the load (the prompt's uncached tokens, an adapter's load,
# failures) is at most so much higher.  It is the prefill of 220 tokens, less
# than that of a session's earlier turns.
FIXED_COST_TOLERANCE_MS = 10.0
# Part of the objective for the interval between events that pending prompts
# may take; the rest is the time of the event's own tokens.
MAX_PAUSE_FRACTION = 0.8
# Cost of each ms by which a prompt pauses one running stream for too long.
PAUSE_COST = 0.1


@dataclasses.dataclass(frozen=True)
class Candidate:
    """State of a replica at the time of the choice.

    ``running`` requests and pending ``prefill_tokens`` are those of all
    instances, as far as reported; ``cached_tokens`` of this prompt are in the
    prefix cache; ``adapter_ms`` is the time until the adapter is loaded, 0 if
    it is; ``failure_ratio`` is the share of recent requests that failed, from
    0 to 1; ``is_relayed`` is whether requests reach it through a peer;
    ``sent_rate`` is the work that this instance sends to it, in ms of
    predicted time a ms; ``pace`` is how many times slower than others it is,
    see ``speeds``.
    """

    id: ids.TargetId
    slots: int
    running: int
    prefill_tokens: float
    is_local: bool
    cached_tokens: int = 0
    adapter_ms: float = 0.0
    failure_ratio: float = 0.0
    is_relayed: bool = False
    sent_rate: float = 0.0
    pace: float = 1.0


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen replica and its predicted time to the first event.

    ``near_equal`` is the number of replicas among which it was chosen at
    random, 1 if it was the cheapest.  ``unpaced_ms`` is the predicted time
    from sending the request to a replica of normal speed, with what others
    are expected to have sent unseen, and ``pace`` that of the chosen one.
    """

    id: ids.TargetId
    first_event_ms: float
    needs_adapter: bool
    near_equal: int = 1
    unpaced_ms: float = 0.0
    pace: float = 1.0


def first_event_ms(candidate: Candidate, prompt_tokens: int) -> float:
    """Predict the time to the first event of a stream, in milliseconds."""
    return (
        candidate.pace * _unpaced_ms(candidate, prompt_tokens)
        + candidate.adapter_ms
    )


def plain_answer_ms(candidate: Candidate) -> float:
    """Predict the time to the answer of a plain call, in milliseconds."""
    return candidate.pace * _unpaced_ms(candidate, None)


def _unpaced_ms(candidate: Candidate, prompt_tokens: int | None) -> float:
    """Predict the time from sending, for a replica of normal speed."""
    if prompt_tokens is None:
        return PLAIN_CALL_MS * (
            1 + candidate.running / max(1, candidate.slots)
        )
    uncached_tokens = max(0, prompt_tokens - candidate.cached_tokens)
    prefill_ms = (
        candidate.prefill_tokens + uncached_tokens
    ) / PREFILL_TOKENS_PER_MS
    queued = max(0, candidate.running - candidate.slots + 1)
    return (
        prefill_ms
        + candidate.running * DELAY_MS_PER_RUNNING_REQUEST
        + queued * PLAIN_CALL_MS
    )


def request_ms(slots: int, prompt_tokens: float | None) -> float:
    """Return by how many ms a request raises the predictions for later ones.

    ``prompt_tokens`` are those without the cached ones, None for a plain call.
    """
    if prompt_tokens is None:
        return PLAIN_CALL_MS / max(1, slots)
    return prompt_tokens / PREFILL_TOKENS_PER_MS + DELAY_MS_PER_RUNNING_REQUEST


def choose(
    candidates: typing.Sequence[Candidate],
    prompt_tokens: int | None,
    objective_ms: float = 0.0,
    figures: even_load.Figures = even_load.EXACT,
    source: random.Random | None = None,
    interval_objective_ms: float = 0.0,
) -> Choice | None:
    """Return the replica with the lowest predicted cost, None for no replica.

    ``prompt_tokens`` is None for a plain call (without a prompt).  Local
    replicas that meet the objective with a margin go before any others.
    With ``figures`` that are stale, and a random ``source``, one of the
    replicas that are near-equal to the cheapest is returned.  A slow replica
    that would miss the objective is left to requests without any other.
    A prompt costs more where it would pause running streams for longer than
    ``interval_objective_ms``, 0 for no such objective.
    """
    candidates = [
        candidate
        for candidate in candidates
        if candidate.pace == 1
        or _predicted_ms(candidate, prompt_tokens) <= objective_ms
    ] or candidates
    cost_by_id = {
        candidate.id: _cost(candidate, prompt_tokens)
        + _pause_cost(candidate, prompt_tokens, interval_objective_ms)
        for candidate in candidates
    }
    local_limit_ms = objective_ms * LOCAL_OBJECTIVE_FRACTION
    fast_local = [
        candidate
        for candidate in candidates
        if candidate.is_local and cost_by_id[candidate.id] <= local_limit_ms
    ]
    eligible = fast_local or candidates
    best = min(
        eligible,
        key=lambda candidate: (cost_by_id[candidate.id], candidate.id),
        default=None,
    )
    if best is None:
        return None
    near_equal, unseen_ms = 1, 0.0
    if source is not None and figures.others:
        best, near_equal, unseen_ms = _choose_near_equal(
            best,
            eligible,
            cost_by_id,
            prompt_tokens,
            objective_ms,
            figures,
            source,
        )
    return Choice(
        best.id,
        _predicted_ms(best, prompt_tokens),
        best.adapter_ms > 0,
        near_equal,
        _unpaced_ms(best, prompt_tokens)
        + unseen_ms
        + (0.0 if best.is_local else REMOTE_COST_MS),
        best.pace,
    )


def _choose_near_equal(
    best: Candidate,
    candidates: typing.Sequence[Candidate],
    cost_by_id: typing.Mapping[ids.TargetId, float],
    prompt_tokens: int | None,
    objective_ms: float,
    figures: even_load.Figures,
    source: random.Random,
) -> tuple[Candidate, int, float]:
    """Return a replica near-equal to the best, and the number of these.

    The last value is the time in ms that a replica of normal speed needs for
    what others are expected to have sent to the chosen one.
    """
    max_fixed_ms = _fixed_ms(best, prompt_tokens) + FIXED_COST_TOLERANCE_MS
    comparable = [
        candidate
        for candidate in candidates
        if candidate.is_local == best.is_local
        and candidate.is_relayed == best.is_relayed
        and _fixed_ms(candidate, prompt_tokens) <= max_fixed_ms
    ]
    requests = even_load.unseen_requests(
        sum(candidate.sent_rate for candidate in comparable),
        _request_ms(best, prompt_tokens),
        figures,
    )
    unseen_ms = requests * _request_ms(best, prompt_tokens) / best.pace
    if len(comparable) == 1 or requests < 1:
        return best, 1, unseen_ms
    spare = even_load.spare_requests(
        [
            even_load.Option(
                cost_by_id[candidate.id],
                _request_ms(candidate, prompt_tokens),
            )
            for candidate in comparable
        ],
        requests,
        objective_ms * even_load.MAX_TOLERANCE_FRACTION,
    )
    picked = even_load.pick(spare, source)
    if picked is None:
        return best, 1, unseen_ms
    unseen_ms *= spare[picked] / sum(spare)
    return comparable[picked], sum(weight > 0 for weight in spare), unseen_ms


def _request_ms(candidate: Candidate, prompt_tokens: int | None) -> float:
    uncached_tokens = (
        None
        if prompt_tokens is None
        else max(0, prompt_tokens - candidate.cached_tokens)
    )
    return candidate.pace * request_ms(candidate.slots, uncached_tokens)


def _fixed_ms(candidate: Candidate, prompt_tokens: int | None) -> float:
    """Return the part of the cost that doesn't depend on the load."""
    run_ms = (
        candidate.pace * PLAIN_CALL_MS
        if prompt_tokens is None
        else _request_ms(candidate, prompt_tokens)
    )
    failure_ms = candidate.failure_ratio * FAILURE_COST_MS
    return run_ms + failure_ms + candidate.adapter_ms


def _predicted_ms(candidate: Candidate, prompt_tokens: int | None) -> float:
    if prompt_tokens is None:
        return plain_answer_ms(candidate)
    return first_event_ms(candidate, prompt_tokens)


def _cost(candidate: Candidate, prompt_tokens: int | None) -> float:
    cost = _predicted_ms(candidate, prompt_tokens)
    cost += candidate.failure_ratio * FAILURE_COST_MS
    if not candidate.is_local:
        cost += REMOTE_COST_MS
    if candidate.is_relayed:
        cost += RELAY_COST_MS
    return cost


def _pause_cost(
    candidate: Candidate,
    prompt_tokens: int | None,
    interval_objective_ms: float,
) -> float:
    """Return the cost of the pause of the streams that run on a replica.

    An engine prefills prompts between the tokens of running streams, so that
    prompts that arrive together pause all of them.
    """
    if prompt_tokens is None or not interval_objective_ms:
        return 0.0
    tokens = candidate.prefill_tokens + max(
        0, prompt_tokens - candidate.cached_tokens
    )
    pause_ms = candidate.pace * tokens / PREFILL_TOKENS_PER_MS
    excess_ms = pause_ms - MAX_PAUSE_FRACTION * interval_objective_ms
    return max(0.0, excess_ms) * candidate.running * PAUSE_COST


class PrefixCacheEstimate:
    """An estimate of the prompt parts in a replica's prefix cache.

    A part is cached only together with all parts before it, separately for
    each model and adapter.  The least recently used parts are evicted.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens = 0
        self._tokens_by_prefix: dict[tuple[str, ...], int] = {}

    def cached_tokens(
        self,
        model_and_adapter: tuple[str, str],
        prompt_parts: typing.Sequence[tuple[str, int]],
    ) -> int:
        """Return the number of cached tokens at the start of a prompt."""
        cached_tokens = 0
        for prefix, tokens in _prefixes(model_and_adapter, prompt_parts):
            if prefix not in self._tokens_by_prefix:
                break
            cached_tokens += tokens
        return cached_tokens

    def record_prompt(
        self,
        model_and_adapter: tuple[str, str],
        prompt_parts: typing.Sequence[tuple[str, int]],
    ) -> None:
        """Record that the replica processes a prompt."""
        for prefix, tokens in _prefixes(model_and_adapter, prompt_parts):
            self._tokens += tokens - self._tokens_by_prefix.pop(prefix, 0)
            self._tokens_by_prefix[prefix] = tokens
        while self._tokens > self._capacity_tokens:
            oldest = next(iter(self._tokens_by_prefix))
            self._tokens -= self._tokens_by_prefix.pop(oldest)


def _prefixes(
    model_and_adapter: tuple[str, str],
    prompt_parts: typing.Sequence[tuple[str, int]],
) -> typing.Iterator[tuple[tuple[str, ...], int]]:
    names = [
        model_and_adapter[0],
        model_and_adapter[1],
        *(part for part, _ in prompt_parts),
    ]
    for (_, tokens), end in zip(prompt_parts, itertools.count(3)):
        yield tuple(names[:end]), tokens
