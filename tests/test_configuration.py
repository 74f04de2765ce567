"""Folders: merged in name order, checked whole, with file and line."""

import pathlib

import pytest

from cardamom_config import diffs
from cardamom_config import folders
from tools import deployment

GOOD = {
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


def _write(folder: pathlib.Path, files: dict[str, str]) -> pathlib.Path:
    for name, text in files.items():
        (folder / name).write_text(text)
    return folder


class TestFolders:
    """Reading and merging."""

    def test_files_merge_in_name_order(self, tmp_path: pathlib.Path) -> None:
        files = {
            **GOOD,
            "90-more.yaml": "teams:\n  team-a:\n    burst_tokens: 2000\n",
        }
        loaded = folders.load_folder(_write(tmp_path, files))
        assert loaded.configuration is not None, loaded.problems
        team = loaded.configuration.teams["team-a"]
        assert (team.rate_tokens_per_s, team.burst_tokens) == (100, 2000)

    @pytest.mark.parametrize("name", ["bogota", "san-isidro"])
    def test_examples_are_whole(self, name: str) -> None:
        loaded = folders.load_folder(deployment.EXAMPLES / name)
        assert loaded.configuration is not None, loaded.problems

    def test_every_error_has_its_line(self, tmp_path: pathlib.Path) -> None:
        files = {
            **GOOD,
            "40-bad.yaml": (
                "teams:\n"
                "  team-a:\n"
                "    rate: 5\n"
                "adapters:\n"
                "  tuned:\n"
                "    model: none\n"
                "    memory_mb: 10\n"
            ),
        }
        loaded = folders.load_folder(_write(tmp_path, files))
        assert loaded.configuration is None
        shown = [str(problem) for problem in loaded.problems]
        assert shown == [
            "40-bad.yaml:3: teams.team-a.rate: unknown field; remove it or "
            "correct its name"
        ]

    @pytest.mark.parametrize(
        ("name", "text", "line", "words"),
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
                "names no model",
            ),
            (
                "40.toml",
                "[teams.team-a]\nrate_tokens_per_s = -1\n",
                2,
                "greater than 0",
            ),
        ],
    )
    def test_bad_files(
        self,
        tmp_path: pathlib.Path,
        name: str,
        text: str,
        line: int,
        words: str,
    ) -> None:
        folder = _write(tmp_path, {**GOOD, name: text})
        problems = folders.load_folder(folder).problems
        assert any(
            p.file == name and p.line == line and words in p.message
            for p in problems
        ), [str(p) for p in problems]

    def test_no_folder(self, tmp_path: pathlib.Path) -> None:
        problems = folders.load_folder(tmp_path / "none").problems
        assert "is not a folder" in problems[0].message


class TestDiffs:
    """Differences, field by field."""

    def test_added_removed_changed(self) -> None:
        before = {"a": {"x": 1, "y": 2}, "b": 1}
        after = {"a": {"x": 1, "y": 3}, "c": 1}
        lines = [str(line) for line in diffs.diff(before, after)]
        assert lines == ["~ a.y: 2 -> 3", "- b: 1", "+ c: 1"]
