"""Decodes and encodes the platform's messages, given as literal bytes."""

import pathlib
import re

import orjson
import pytest

from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway import settings
from cardamom_kernel import ids
from cardamom_wire import boot
from cardamom_wire import configuration
from cardamom_wire import headers
from cardamom_wire import targets

ROOT = pathlib.Path(__file__).parents[2]
ENTRY = (
    b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"bog-a",'
    b'"version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,'
    b'"stage":"prefill_decode","models":[{"name":"daka","version":1,'
    b'"adapters":["a1@2"]}],"sequence":4,"born":1700000000000,'
    b'"available":{"in_memory":["daka"],"on_disk":["rada"]},"new":1}'
)
REPORT = (
    b'{"stage":"prefill_decode","models":[{"name":"daka","version":1,'
    b'"adapters":[]}],"busy":true,"sequence":2,"waiting":1,"running":12,'
    b'"pending":["daka/a3@1"],"kv_cache_used":41000,"handles":0}'
)
CONFIGURATION = (
    b'{"version":7,"routes":[{"name":"r1","host":"Ficu95.example",'
    b'"prefix":"/lohu/","kind":"streaming","timeout_ms":4000,'
    b'"target_latency_ms":800,"priority":1,"traffic_split":[{"service":"a",'
    b'"weight":90},{"service":"b","weight":10}],"max_attempts":2,'
    b'"anonymous":false,"resumable":true,"gap_target_ms":400},'
    b'{"name":"r2","host":"ficu95.example","prefix":"/lohu/deep/",'
    b'"kind":"non_idempotent","timeout_ms":900,"service":"b"}],'
    b'"services":[{"name":"a","connection_limit":360,"engine":{"slots":64,'
    b'"kv_cache_tokens":144818,"weights_mb":230000.0,"adapter_slots":8,'
    b'"loads_per_s":2.5,"models":[{"name":"daka","weights_mb":72700.0,'
    b'"load_s":5.8,"adapters":36,"adapter_mb":66.0,"warm_s":0.63,'
    b'"disk_s":1.2}]}}],"tenants":[{"name":"hule","api_keys":["k1","k2"],'
    b'"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":58282,'
    b'"burst":58282}]}'
)
BOOT = """
node_name: frontend-bog-a-1
ip_address: 10.1.0.25
zone: bog-a
listen_addresses:
  frontend_address: "10.1.0.25:8221"
  readiness: "10.1.0.25:8224"
internal_port_range: [7600, 7615]
bootstrap: true
bounds: {grace_period_s: 8, lease_ms: 3000, budget_slack: 54}
platform: {address: "10.200.1.7:8225"}
not_known_here: 1
"""


class TestEntries:
    """Decoding of replicas' entries in the store."""

    def test_complete_entry_is_decoded(self) -> None:
        """Guards against misplaced fields and errors for unknown fields."""
        target = targets.decode_entry("i-1", ENTRY)
        assert target.software_version == "v1"
        assert target.id == "i-1"
        assert target.state is model.TargetState.READY
        assert target.residents == {("daka", ""), ("daka", "a1")}
        assert target.in_host_memory == {"daka"}
        assert target.on_disk == {"rada"}
        assert (target.entry_sequence, target.started_ms) == (
            4,
            1_700_000_000_000,
        )

    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"state": "asleep"}, "state"),
            ({"slots": "many"}, "slots"),
            ({"address": "10.1.1.1"}, "address"),
            ({"service": None}, "service"),
            ({"models": [{"name": 4}]}, "name"),
            ({"models": "daka"}, "models"),
        ],
    )
    def test_invalid_field_is_named_in_the_error(
        self, change: dict[str, object], field: str
    ) -> None:
        """Guards against targets decoded from rows of another writer."""
        value = orjson.dumps(orjson.loads(ENTRY) | change)
        with pytest.raises(interfaces.MalformedMessage, match=field):
            targets.decode_entry("i-1", value)

    @pytest.mark.parametrize("value", [b"", b"\xff\x00", b"[]", b"4", b"{"])
    def test_unparsable_bytes_are_malformed(self, value: bytes) -> None:
        """Guards against other exceptions, which would end the process."""
        with pytest.raises(interfaces.MalformedMessage):
            targets.decode_entry("i-1", value)


class TestReports:
    """Decoding of replicas' reports."""

    def test_sequence_of_a_report_counts_orders(self) -> None:
        """Guards against a mix-up with an entry, where it counts writes."""
        report = targets.decode_report(REPORT)
        assert report.accepted_orders == 2
        assert report.is_busy
        assert report.pending == {("daka", "a3")}
        assert (report.running, report.waiting) == (12, 1)


class TestConfiguration:
    """Decoding of the operators' configuration."""

    def test_complete_configuration_is_decoded(self) -> None:
        """Guards against misplaced fields of routes, engines and teams."""
        decoded = configuration.decode(CONFIGURATION)
        assert decoded.version == 7
        route = decoded.find_route("ficu95.example", "/lohu/x")
        assert route is not None and route.id == "r1"
        assert route.is_retryable and route.event_interval_objective_ms == 400
        assert [split.weight for split in route.splits] == [90, 10]
        deep = decoded.find_route("FICU95.example", "/lohu/deep/x")
        assert deep is not None and deep.id == "r2"
        assert not deep.is_retryable
        assert decoded.find_route("ficu95.example", "/lohux") is None
        engine = decoded.service_by_id[model.ServiceId("a")].engine
        assert engine is not None
        assert engine.memory_mb == 230_000.0
        spec = engine.model_by_name["daka"]
        assert spec.memory_mb == 72_700.0
        assert (spec.store_load_ms, spec.disk_load_ms, spec.host_load_ms) == (
            5_800.0,
            1_200.0,
            630.0,
        )
        assert decoded.team_by_key["k2"].id == "hule"
        assert decoded.team_by_key["k2"].counts_tokens

    def test_unknown_call_kind_is_an_error(self) -> None:
        """Guards against repeating requests that must run only once."""
        value = CONFIGURATION.replace(b'"streaming"', b'"sometimes"')
        with pytest.raises(interfaces.MalformedMessage, match="kind"):
            configuration.decode(value)


class TestHeads:
    """Decoding and encoding of the heads of requests and answers."""

    def test_head_of_a_model_call_is_decoded(self) -> None:
        """Guards against misplaced model, adapter, tokens or prompt parts."""
        head = headers.decode_head(
            {
                "Attempt-Id": "9c41",
                "Model": "daka/a3",
                "Token-Usage": "1460,80",
                "Prompt-Prefix": "5c:800,91:410",
                "Deadline-Ms": "4000",
                "X-Api-Key": "k1",
                "Last-Event-Id": "12",
            }
        )
        assert head.model_and_adapter == ("daka", "a3")
        assert (head.prompt_tokens, head.answer_tokens) == (1460, 80)
        assert head.prompt_parts == (("5c", 800), ("91", 410))
        assert (head.deadline_ms, head.last_event) == (4000, "12")

    @pytest.mark.parametrize(
        ("hint", "expected"),
        [("20", 20), ("200", 80), ("", 80), ("about ten", 80)],
    )
    def test_length_hint_is_limited_and_optional(
        self, hint: str, expected: int
    ) -> None:
        """Guards against hints above the maximum and unreadable hints."""
        head = headers.decode_head(
            {"Token-Usage": "1460,80", "Length-Hint": hint}
        )
        assert head.expected_tokens == expected

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("Token-Usage", "many"),
            ("Prompt-Prefix", "5c:x"),
            ("Deadline-Ms", "soon"),
            ("Deadline-Ms", "inf"),
        ],
    )
    def test_malformed_header_is_named_in_the_error(
        self, name: str, value: str
    ) -> None:
        """Guards against refusals that don't say which header is wrong."""
        with pytest.raises(interfaces.MalformedMessage, match=name):
            headers.decode_head({name: value})

    def test_gateway_headers_replace_those_of_the_caller(
        self,
    ) -> None:
        """Guards against forged, secret and hop-by-hop headers at targets."""
        target_headers = headers.encode_head(
            [
                ("Host", "h"),
                ("X-Api-Key", "k1"),
                ("Tenant", "forged"),
                ("Pin-Ms", "4000"),
                ("Connection", "close, X-Hop"),
                ("X-Hop", "1"),
                ("Transfer-Encoding", "chunked"),
                ("X-Kept", "1"),
                ("Deadline-Ms", "4000"),
            ],
            interfaces.ForwardingFields(
                ids.TargetId("i-1"), ids.TeamId("hule"), 900, 3, "7"
            ),
        )
        assert target_headers == [
            ("Host", "h"),
            ("X-Kept", "1"),
            ("Deadline-Ms", "900"),
            ("Expected-Instance", "i-1"),
            ("Request-Priority", "3"),
            ("Tenant", "hule"),
            ("Last-Event-Id", "7"),
        ]

    def test_head_of_an_answer_is_decoded(self) -> None:
        """Guards against a lost signature, "Not-Executed" or idle timeout."""
        answer = headers.decode_answer(
            {
                "Attempt-Id": "9c41",
                "Response-Signature": "3e.07",
                "Keep-Alive": "max=5, timeout=4",
                "Not-Executed": "1",
            }
        )
        assert answer == model.AnswerHead("9c41", True, True, 4_000)

    @pytest.mark.parametrize(
        ("value", "limit", "malformed"),
        [
            (None, None, None),
            ("1.5", 1.5, None),
            ("0", 0.0, None),
            ("-1", None, "-1"),
            ("nan", None, "nan"),
            ("inf", None, "inf"),
            ("many", None, "many"),
            ("", None, ""),
        ],
    )
    def test_limit_of_an_answer_is_a_finite_number_from_0(
        self, value: str | None, limit: float | None, malformed: str | None
    ) -> None:
        """Guards against a value that counts as a limit, but is none."""
        fields = {} if value is None else {"Server-Limit": value}
        answer = headers.decode_answer(fields)
        assert answer.rate_limit_per_s == limit
        assert answer.malformed_limit == malformed

    def test_tolerated_rejections_of_a_brittle_target_are_decoded(
        self,
    ) -> None:
        """Guards against a brittle target that is taken for any other."""
        answer = headers.decode_answer({"Server-Brittle": "3"})
        assert answer.tolerated_rejections == 3
        malformed = headers.decode_answer({"Server-Brittle": "few"})
        assert malformed.tolerated_rejections is None
        assert malformed.malformed_limit == "few"

    def test_refusal_has_retry_after_in_seconds(self) -> None:
        """Guards against milliseconds, or seconds rounded to integers."""
        assert headers.refusal_headers("a", 1_250) == [
            ("Attempt-Id", "a"),
            ("Retry-After", "1.250"),
        ]


class TestBoot:
    """Reading of the settings file."""

    def test_complete_file_is_read(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against misplaced fields and errors for unknown fields."""
        path = tmp_path / "local.yaml"
        path.write_text(BOOT)
        monkeypatch.setenv(boot.PATH_VARIABLE, str(path))
        result = boot.read()
        assert str(result.callers) == "10.1.0.25:8221"
        assert (result.grace_ms, result.retry_slack) == (8_000, 54)
        assert (result.peers_port, result.metrics_port) == (7_600, 7_601)
        assert result.is_first_start

    @pytest.mark.parametrize(
        ("line", "field"),
        [
            ("node_name: [", "line"),
            ("internal_port_range: [7600]", "internal_port_range"),
            ("node_name: 4", "node_name"),
            ("ip_address: host.example", "peers_host"),
            ("bounds: {lease_ms: 0}", "lease_ms"),
        ],
    )
    def test_invalid_settings_error_names_file_and_field(
        self,
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
        line: str,
        field: str,
    ) -> None:
        """Guards against errors that don't show what has to be corrected."""
        key = line.partition(":")[0]
        other_lines = [
            other for other in BOOT.split("\n") if not other.startswith(key)
        ]
        path = tmp_path / "local.yaml"
        path.write_text("\n".join([*other_lines, line]))
        monkeypatch.setenv(boot.PATH_VARIABLE, str(path))
        with pytest.raises(settings.SettingsError, match=field) as error_info:
            boot.read()
        assert str(path) in str(error_info.value)

    def test_missing_file_is_named_in_the_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against other exceptions and errors without the path."""
        monkeypatch.setenv(boot.PATH_VARIABLE, "/nowhere/at/all")
        with pytest.raises(settings.SettingsError, match="/nowhere"):
            boot.read()


class TestBoundary:
    """The protocol's names are only in the adapter, which stays small."""

    PROTOCOL_NAMES = re.compile(
        "rows-(tx|feed|get)|api/(order|report|readyz)|Attempt-Id|Token-Usage"
        "|Prompt-Prefix|Kv-From|Response-Signature|Expected-Instance"
        "|Not-Executed|fencing_token|Request-Priority|Deadline-Ms"
        "|frontend_address|internal_port_range|traffic_split|kv_cache_tokens"
        "|cold_remaining_ms|CARDAMOMWAY_BOOT"
    )

    def test_no_protocol_name_outside_the_adapter(self) -> None:
        """Guards against packages and tools tied to one platform."""
        paths = [
            str(path.relative_to(ROOT))
            for folder in ("packages", "tools", "deploy")
            for path in (ROOT / folder).rglob("*.py")
            if self.PROTOCOL_NAMES.search(path.read_text("utf-8"))
        ]
        assert paths == []

    def test_adapter_contains_no_decisions(self) -> None:
        """Guards against policies, clocks, randomness and many lines."""
        sources = [
            path.read_text("utf-8")
            for path in (ROOT / "platform").rglob("*.py")
        ]
        forbidden_names = (
            "cardamom_policy",
            "clocks",
            "random",
            "asyncio.sleep",
        )
        assert not [
            name
            for name in forbidden_names
            for source in sources
            if name in source
        ]
        assert sum(source.count("\n") for source in sources) < 1_200
