"""Profiles of the randomised tests."""

import os

import hypothesis
import pytest

from cardamom_kernel import telemetry

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
    print_blob=True,
)
hypothesis.settings.register_profile(
    "explore",
    parent=hypothesis.settings.get_profile("ci"),
    derandomize=False,
    max_examples=3_000,
)
hypothesis.settings.load_profile(os.environ.get("CARDAMOM_TESTS", "ci"))


@pytest.fixture(autouse=True, scope="session")
def quiet_logs() -> None:
    """Keep the logs of instances under test to warnings."""
    telemetry.configure_logs(telemetry.LogFormat.CONSOLE, "error", "test")
