"""Traces of single requests through the logs of all instances.

Instances write JSON lines to standard output.  Log collectors may put a
prefix before the first brace of a line; the last word of the prefix is then
the source of the line.  Without a prefix the source is the file's name.
"""

import dataclasses
import datetime
import enum
import json
import pathlib
import typing

ORDER_LOOKBACK_S = 15.0  # an order before it may have unloaded the model
TARGET_WINDOW_S = 3.0  # target events before and after the request
MAX_CONTEXT_LINES = 12  # of each kind

Fields = typing.Mapping[str, typing.Any]


class Ending(enum.Enum):
    """How a request ended, according to its last log line."""

    ANSWERED = "answered"
    REFUSED = "refused before it ran"
    FAILED = "failed, it may have run"
    BROKEN_OFF = "broken off"
    UNKNOWN = "its end is in no line"


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One log line with its source, time and JSON fields."""

    source: str
    at: datetime.datetime
    event: str
    fields: Fields

    def field_text(self, name: str) -> str:
        """Return a field as text, empty if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def render(self) -> str:
        """Return the line in a form for people."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in ("event", "level", "timestamp", "id")
            and value not in ("", None)
        )
        time = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{time} {self.source} {self.event}  {shown}"


@dataclasses.dataclass(frozen=True)
class Log:
    """The log lines of all sources by time; unreadable lines are counted."""

    lines: tuple[LogLine, ...]
    unreadable_count: int


@dataclasses.dataclass(frozen=True)
class RequestTrace:
    """A request's log lines, how it ended, and related log lines."""

    request: str
    lines: tuple[LogLine, ...]
    ending: Ending
    reason: str
    context: tuple[LogLine, ...]


def read_log(
    texts: typing.Iterable[tuple[str, typing.Iterable[str]]],
) -> Log:
    """Parse texts, given as pairs of the source's name and its lines."""
    lines: list[LogLine] = []
    unreadable_count = 0
    for source, text in texts:
        for raw in text:
            if "{" not in raw:
                continue
            line = parse_line(source, raw)
            if line is None:
                unreadable_count += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.at)
    return Log(tuple(lines), unreadable_count)


def parse_line(source: str, raw: str) -> LogLine | None:
    """Parse a line that contains a brace; returns None if it is invalid."""
    prefix, brace, json_text = raw.partition("{")
    try:
        fields = json.loads(brace + json_text)
        at = datetime.datetime.fromisoformat(fields["timestamp"])
        event = str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    prefix_words = prefix.split()
    return LogLine(
        prefix_words[-1] if prefix_words else source, at, event, fields
    )


def open_files(
    files: typing.Iterable[pathlib.Path],
) -> typing.Iterator[tuple[str, typing.Iterable[str]]]:
    """Yield the stem and the lines of each file; raises OSError."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield path.stem, file


def trace_request(log: Log, request: str) -> RequestTrace | None:
    """Return the trace of a request id, None if no line has that id."""
    request_lines = tuple(
        line for line in log.lines if line.field_text("id") == request
    )
    if not request_lines:
        return None
    last = request_lines[-1]
    return RequestTrace(
        request,
        request_lines,
        _ending(last),
        last.field_text("reason"),
        _context(log, request_lines),
    )


def _ending(last: LogLine) -> Ending:
    if last.event == "forward: answered":
        return Ending.ANSWERED
    if last.event == "forward: broken off":
        return Ending.BROKEN_OFF
    if last.event == "forward: refused":
        has_run = last.fields.get("not_run") is False
        return Ending.FAILED if has_run else Ending.REFUSED
    return Ending.UNKNOWN


def _context(
    log: Log, request_lines: tuple[LogLine, ...]
) -> tuple[LogLine, ...]:
    """Return decisions and events that may explain how the request ended."""
    lines_of_kinds = (
        _model_orders(log, request_lines),
        _target_events(log, request_lines),
        _configuration_events(log, request_lines),
    )
    line_by_id = {
        id(line): line
        for lines in lines_of_kinds
        for line in lines[-MAX_CONTEXT_LINES:]
    }
    return tuple(sorted(line_by_id.values(), key=lambda line: line.at))


def _model_orders(
    log: Log, request_lines: tuple[LogLine, ...]
) -> list[LogLine]:
    models = {line.field_text("model") for line in request_lines} - {""}
    return [
        line
        for line in _lines_between(log, request_lines, ORDER_LOOKBACK_S)
        if line.event in ("placing: order", "placing: order failed")
        and (
            line.field_text("model") in models
            or any(
                line.field_text("reason").startswith(model) for model in models
            )
        )
    ]


def _target_events(
    log: Log, request_lines: tuple[LogLine, ...]
) -> list[LogLine]:
    targets = {line.field_text("target") for line in request_lines} - {"", "-"}
    return [
        line
        for line in _lines_between(log, request_lines, TARGET_WINDOW_S)
        if line.field_text("target") in targets
        and line.event.startswith(("targets: ", "gateway: target"))
    ]


def _configuration_events(
    log: Log, request_lines: tuple[LogLine, ...]
) -> list[LogLine]:
    """Return the lines of the configurations that the request was under."""
    source_versions = {
        (line.source, line.field_text("configuration"))
        for line in request_lines
        if line.field_text("configuration")
    }
    return [
        line
        for line in log.lines
        if line.event == "gateway: configuration in force"
        and (line.source, line.field_text("version")) in source_versions
    ]


def _lines_between(
    log: Log, request_lines: tuple[LogLine, ...], before_s: float
) -> typing.Iterator[LogLine]:
    start = request_lines[0].at - datetime.timedelta(seconds=before_s)
    end = request_lines[-1].at + datetime.timedelta(seconds=TARGET_WINDOW_S)
    return (line for line in log.lines if start <= line.at <= end)
