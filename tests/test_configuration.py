"""Configuration folders are merged in name order and checked completely."""

import pathlib

import pytest

from cardamom_config import diffs
from cardamom_config import folders
from tools import deployment

VALID_FILES = {
    "10-teams.yaml": (
        "teams:\n  team-a:\n    rate_tokens_per_s: 100\n"
        "    burst_tokens: 1000\n"
    ),
    "20-targets.yaml": (
        "targets:\n  engine-1:\n    kind: engine\n    group: replicas\n"
        "    url: http://10.0.0.1:9000\n    data_centre: a\n"
        "    memory_mb: 1000\n"
    ),
    "30-models.toml": "[models.small]\nmemory_mb = 300\n",
}


def _write_files(folder: pathlib.Path, files: dict[str, str]) -> pathlib.Path:
    for name, text in files.items():
        (folder / name).write_text(text)
    return folder


class TestFolders:
    """Files are merged and errors are reported with file and line."""

    def test_files_merge_in_name_order(self, tmp_path: pathlib.Path) -> None:
        files = {
            **VALID_FILES,
            "90-override.yaml": "teams:\n  team-a:\n    burst_tokens: 2000\n",
        }
        loaded = folders.load_folder(_write_files(tmp_path, files))
        assert loaded.configuration is not None, loaded.problems
        team = loaded.configuration.teams["team-a"]
        assert (team.rate_tokens_per_s, team.burst_tokens) == (100, 2000)

    @pytest.mark.parametrize("name", ["bogota", "san-isidro"])
    def test_examples_are_valid(self, name: str) -> None:
        loaded = folders.load_folder(deployment.EXAMPLES / name)
        assert loaded.configuration is not None, loaded.problems

    def test_error_has_file_line_and_field(
        self, tmp_path: pathlib.Path
    ) -> None:
        files = {
            **VALID_FILES,
            "40-invalid.yaml": (
                "teams:\n"
                "  team-a:\n"
                "    rate: 5\n"
                "adapters:\n"
                "  tuned:\n"
                "    model: none\n"
                "    memory_mb: 10\n"
            ),
        }
        loaded = folders.load_folder(_write_files(tmp_path, files))
        assert loaded.configuration is None
        messages = [str(problem) for problem in loaded.problems]
        assert messages == [
            "40-invalid.yaml:3: teams.team-a.rate: unknown field; "
            "remove it or correct its name"
        ]

    @pytest.mark.parametrize(
        ("name", "text", "line", "expected"),
        [
            ("40.yaml", "teams: [", 1, "expected"),
            ("40.yaml", "teams:\n  team-a:\n  team-a:\n", 3, "twice"),
            ("40.yaml", "- one\n", 1, "must be a mapping"),
            ("40.toml", "x = = 1\n", 1, "Invalid"),
            (
                "40.yaml",
                "models:\n  small:\n    memory_mb: 9000\n",
                3,
                "largest engine has 1000 MB",
            ),
            (
                "40.yaml",
                "routes:\n  one:\n    path: /one\n    group: none\n",
                4,
                "no service target",
            ),
            (
                "40.yaml",
                "adapters:\n  t:\n    model: none\n    memory_mb: 1\n",
                3,
                "unknown model 'none'",
            ),
            (
                "40.toml",
                "[teams.team-a]\nrate_tokens_per_s = -1\n",
                2,
                "greater than 0",
            ),
        ],
    )
    def test_invalid_file_is_reported_at_its_line(
        self,
        tmp_path: pathlib.Path,
        name: str,
        text: str,
        line: int,
        expected: str,
    ) -> None:
        folder = _write_files(tmp_path, {**VALID_FILES, name: text})
        problems = folders.load_folder(folder).problems
        assert any(
            p.file == name and p.line == line and expected in p.message
            for p in problems
        ), [str(p) for p in problems]

    def test_missing_folder_is_reported(self, tmp_path: pathlib.Path) -> None:
        problems = folders.load_folder(tmp_path / "missing").problems
        assert "is not a folder" in problems[0].message


class TestDiffs:
    """Differences between configurations are listed by field."""

    def test_added_removed_and_changed_fields_are_listed(self) -> None:
        before = {"a": {"x": 1, "y": 2}, "b": 1}
        after = {"a": {"x": 1, "y": 3}, "c": 1}
        lines = [str(line) for line in diffs.diff(before, after)]
        assert lines == ["~ a.y: 2 -> 3", "- b: 1", "+ c: 1"]
