"""One attempt of a request at one target."""

import asyncio
import contextlib
import dataclasses
import enum
import typing

import aiohttp
import structlog
import yarl

from cardamom_kernel import clocks
from cardamom_platform import connectors
from cardamom_platform import pools
from cardamom_policy import dispatching

from cardamom_gateway.fleet import peers
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import sockets
from cardamom_gateway.targets import target_records

LOG = structlog.get_logger("cardamom.gateway.attempts")

# A connection takes 3 ms; an unreachable target doesn't answer at all.
CONNECT_TIMEOUT_S = 0.35
# Idle time of connections until a target states how long it keeps them.
DEFAULT_IDLE_MS = 3_000
# Idle connections that are kept to each target.  A target bounds those of all
# instances together.
MAX_IDLE_PER_TARGET = 2
# Connections aren't reused this shortly before the target closes them.
IDLE_MARGIN_MS = 600
# A running target accepts a connection within a few ms.
PROBE_TIMEOUT_S = 0.4
# Headers that aiohttp would add if the caller hasn't sent them.
SKIPPED_AUTO_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "User-Agent",
    "Content-Type",
)
TRANSFER_ERRORS = (
    *pools.NETWORK_ERRORS,
    ValueError,
    asyncio.IncompleteReadError,
)
STATUS_NOT_FOUND = 404
STATUS_MISDIRECTED_REQUEST = 421
STATUS_UNAVAILABLE = 503
# In the answer of a peer that could not send a request to the target.
RELAY_NOT_CONNECTED = "Relay-Not-Connected"
# From a stream's first event until a later crash can't come from its prompt.
SOUND_AFTER_MS = 500


class FailureKind(enum.Enum):
    """How an attempt failed to give an answer that can be relayed."""

    NOT_CONNECTED = "not_connected"
    NOT_RUN = "not_run"
    BROKEN = "broken"


class AttemptFailed(Exception):
    """Raised for an attempt that gave no answer.

    With ``NOT_CONNECTED`` the target was not reached; with ``NOT_RUN`` it
    stated that it did not run the request; with ``BROKEN`` the request may
    have run.  ``is_rejection`` is whether the target had no room for it.
    """

    def __init__(
        self, kind: FailureKind, reason: str, is_rejection: bool = False
    ) -> None:
        super().__init__(f"{kind.value}: {reason}")
        self.kind = kind
        self.reason = reason
        self.is_rejection = is_rejection


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """A request in the form that is sent to a target."""

    method: str
    raw_path: str
    headers: list[tuple[str, str]]
    body: bytes
    attempt: str
    needs_new_connection: bool
    on_sent: typing.Callable[[], None] = lambda: None


class TargetClient:
    """Sends requests to targets over pooled connections.

    A request that may not run twice gets a new connection: a pooled one might
    be closed by the target at that moment, and it would then be unknown
    whether the request ran.  Others may use that connection after it.
    ``on_answer`` is called with the head of each answer, also of a rejection.
    """

    def __init__(
        self,
        codec: interfaces.MessageCodec,
        on_answer: typing.Callable[
            [target_records.TargetRecord, model.AnswerHead], None
        ],
    ) -> None:
        self._codec = codec
        self._on_answer = on_answer
        self._stated_idle_ms: int | None = None
        self._open_connector: connectors.CleanConnector | None = None
        self._open_session: aiohttp.ClientSession | None = None

    async def send(
        self,
        record: target_records.TargetRecord,
        outgoing: OutgoingRequest,
        relay_address: str = "",
    ) -> aiohttp.ClientResponse:
        """Send a request and return the answer, whose body is unread.

        With ``relay_address`` the request goes through a peer.  Raises
        AttemptFailed without an answer, or if the answer does not belong to
        the request or cannot be relayed.
        """
        response = await self.open(
            relay_address or record.target.address, outgoing
        )
        if relay_address and self._is_unrelayed(response):
            response.release()
            raise AttemptFailed(
                FailureKind.NOT_CONNECTED, f"not reached by {relay_address}"
            )
        answer = self.note_head(record, response)
        if answer.keep_alive_ms is not None:
            self._note_keep_alive(answer.keep_alive_ms)
        self._check_answer(response, answer, outgoing)
        return response

    def _is_unrelayed(self, response: aiohttp.ClientResponse) -> bool:
        """Return whether a peer answers that it sent nothing to the target.

        One of a build without relays doesn't know the path; a target's own
        answer names the attempt.
        """
        return RELAY_NOT_CONNECTED in response.headers or (
            response.status == STATUS_NOT_FOUND
            and not self._codec.decode_answer(response.headers).attempt
        )

    def note_head(
        self,
        record: target_records.TargetRecord,
        response: aiohttp.ClientResponse,
    ) -> model.AnswerHead:
        """Decode the head of a target's answer, and record what it says."""
        answer = self._codec.decode_answer(response.headers)
        is_rejection = response.status == STATUS_UNAVAILABLE
        if answer.retry_after_ms is not None and not is_rejection:
            answer = dataclasses.replace(answer, retry_after_ms=None)
        self._on_answer(record, answer)
        return answer

    async def open(
        self, address: str, outgoing: OutgoingRequest
    ) -> aiohttp.ClientResponse:
        """Send a request to an address and return whatever is answered.

        Raises AttemptFailed without an answer.
        """
        url = yarl.URL(f"http://{address}{outgoing.raw_path}", encoded=True)
        connection_scope = (
            connectors.new_connection()
            if outgoing.needs_new_connection
            else contextlib.nullcontext()
        )
        try:
            with connection_scope:
                return await self._session.request(
                    outgoing.method,
                    url,
                    headers=outgoing.headers,
                    data=outgoing.body or None,
                    skip_auto_headers=SKIPPED_AUTO_HEADERS,
                    allow_redirects=False,
                    trace_request_ctx=outgoing,
                )
        except pools.CONNECT_ERRORS as error:
            raise AttemptFailed(
                FailureKind.NOT_CONNECTED, repr(error)
            ) from error
        except TRANSFER_ERRORS as error:
            raise AttemptFailed(
                FailureKind.BROKEN, pools.describe(error)
            ) from error

    def _check_answer(
        self,
        response: aiohttp.ClientResponse,
        answer: model.AnswerHead,
        outgoing: OutgoingRequest,
    ) -> None:
        if answer.attempt and answer.attempt != outgoing.attempt:
            response.close()
            raise AttemptFailed(
                FailureKind.BROKEN, "the answer belongs to another request"
            )
        if answer.has_not_run or response.status == STATUS_MISDIRECTED_REQUEST:
            if not (answer.attempt or outgoing.needs_new_connection):
                response.close()
                raise AttemptFailed(
                    FailureKind.BROKEN,
                    "a refusal on a kept connection names no request",
                )
            status = response.status
            response.release()
            raise AttemptFailed(
                FailureKind.NOT_RUN,
                f"status {status}",
                is_rejection=status == STATUS_UNAVAILABLE,
            )
        if response.ok and not (answer.is_signed and answer.attempt):
            response.close()
            raise AttemptFailed(
                FailureKind.BROKEN, "successful answer without a signature"
            )
        if response.headers.get("Content-Encoding"):
            response.close()
            raise AttemptFailed(
                FailureKind.BROKEN, "the body has a content encoding"
            )

    async def probe(self, record: target_records.TargetRecord) -> bool:
        """Return whether a target accepts a new connection."""
        host, _, port = record.target.address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def close(self) -> None:
        """Close every connection."""
        if self._open_session is not None:
            await self._open_session.close()

    def _note_keep_alive(self, keep_alive_ms: int) -> None:
        """Limit the idle time of connections to the shortest stated time."""
        if (
            self._stated_idle_ms is not None
            and keep_alive_ms >= self._stated_idle_ms
        ):
            return
        LOG.info("attempts: idle time", keep_alive_ms=keep_alive_ms)
        self._stated_idle_ms = keep_alive_ms
        if self._open_connector is not None:
            self._open_connector.set_idle_timeout(self._idle_timeout_s)

    @property
    def _idle_timeout_s(self) -> float:
        idle_ms = self._stated_idle_ms
        if idle_ms is None:
            idle_ms = DEFAULT_IDLE_MS
        return max(0.1, (idle_ms - IDLE_MARGIN_MS) / 1000)

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            self._open_session = self._create_session()
        return self._open_session

    def _create_session(self) -> aiohttp.ClientSession:
        self._open_connector = connectors.CleanConnector(
            max_idle=MAX_IDLE_PER_TARGET,
            limit=0,
            socket_factory=sockets.open_target_socket,
            keepalive_timeout=self._idle_timeout_s,
        )
        session = connectors.open_session(
            self._open_connector,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[_trace_sent_requests()],
        )
        # aiohttp would repeat a GET by itself, outside of the retry budget.
        session._retry_connection = False
        return session


def _trace_sent_requests() -> aiohttp.TraceConfig:
    """Return a trace that calls ``on_sent`` of a request that is sent."""
    trace = aiohttp.TraceConfig()

    async def note_sent(
        session: aiohttp.ClientSession,
        context: typing.Any,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        context.trace_request_ctx.on_sent()

    trace.on_request_headers_sent.append(note_sent)
    return trace


def _ignore(sent_ms: int, has_come: bool) -> None:
    """Serve as default for ``on_first_event``."""


class Attempt:
    """An attempt in flight, which ``give_up`` can end from another task.

    ``last_read_ms`` is when bytes were last received from the target.
    ``part_digests`` are those of the parts of its prompt that other requests
    may share; ``relay`` is the peer through which it goes, None for none.
    ``outlasts_silence`` is whether it waits for a target that is silent for a
    moment; a call that may simply be repeated does not.
    """

    def __init__(
        self,
        record: target_records.TargetRecord,
        clock: clocks.Clock,
        prompt_tokens: int,
        fingerprint: str,
        model_and_adapter: model.ModelAndAdapter,
        part_digests: tuple[str, ...] = (),
        relay: peers.Member | None = None,
        outlasts_silence: bool = True,
    ) -> None:
        self.part_digests = part_digests
        self.outlasts_silence = outlasts_silence
        self.relay = relay
        self.first_event_ms: int = clocks.FOREVER_MS
        self.record = record
        self.model_and_adapter = model_and_adapter
        self.fingerprint = fingerprint
        self.started_ms = clock.now_ms()
        self.sent_ms: int | None = None
        # Called once with the time of sending and whether the event came.
        self.on_first_event: typing.Callable[[int, bool], None] = _ignore
        self.last_read_ms = self.started_ms
        self.response: aiohttp.ClientResponse | None = None
        self.is_given_up = False
        self._clock = clock
        self._task = asyncio.current_task()
        self._prefill_tokens = prompt_tokens

    def __enter__(self) -> "Attempt":
        """Add the attempt to its target's load."""
        self.record.sends.add(
            dispatching.request_ms(
                self.record.target.slots,
                self._prefill_tokens if self.model_and_adapter[0] else None,
            ),
            self.started_ms,
        )
        self.record.load.running += 1
        self.record.load.by_model_and_adapter[self.model_and_adapter] += 1
        self.record.load.prefill_tokens += self._prefill_tokens
        self.record.attempts.add(self)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Remove the attempt from the load; close an unfinished answer."""
        self._end_wait(has_come=False)
        self.record.load.running -= 1
        self.record.load.by_model_and_adapter[self.model_and_adapter] -= 1
        self.record.attempts.discard(self)
        if self.response is not None:
            self.response.close()

    def note_first_event(self) -> None:
        """Record that the target has processed the prompt."""
        self._end_wait(has_come=True)

    def note_sent(self) -> None:
        """Record that the request has left, on a connection."""
        self.sent_ms = self._clock.now_ms()

    def _end_wait(self, has_come: bool) -> None:
        is_first = self.first_event_ms == clocks.FOREVER_MS
        self.record.load.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0
        self.first_event_ms = min(self.first_event_ms, self._clock.now_ms())
        if is_first and self.sent_ms is not None:
            self.on_first_event(self.sent_ms, has_come)

    @property
    def may_have_crashed_target(self) -> bool:
        """Return whether a crash now may come from the prompt.

        An engine that has written on it for a while would have crashed before.
        """
        return self._clock.now_ms() - self.first_event_ms < SOUND_AFTER_MS

    def note_received(self) -> None:
        """Record that bytes were received from the target."""
        self.last_read_ms = self._clock.now_ms()
        self.record.last_answer_ms = self.last_read_ms
        self.record.unreached_since_ms = clocks.FOREVER_MS

    def give_up(self) -> None:
        """End the attempt because its target is silent."""
        if self.is_given_up:
            return
        self.is_given_up = True
        if self.response is not None:
            self.response.close()
        if self._task is not None:
            self._task.cancel()

    def absorb_cancel(self) -> bool:
        """Revoke a cancellation by ``give_up``; return whether it was one."""
        if not self.is_given_up or self._task is None:
            return False
        return self._task.uncancel() == 0
