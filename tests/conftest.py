"""Hypothesis profiles and log fixtures."""

import logging
import os
import typing

import hypothesis
import pytest
import structlog
from structlog import testing as structlog_testing

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
    """Log only errors of the instances under test."""
    telemetry.configure_logs(telemetry.LogFormat.CONSOLE, "error", "test")
    structlog.configure(cache_logger_on_first_use=False)


@pytest.fixture
def log_entries() -> typing.Iterator[list[typing.MutableMapping[str, object]]]:
    """Collect the test's log entries at level info and above."""
    wrapper = structlog.get_config()["wrapper_class"]
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO)
    )
    with structlog_testing.capture_logs() as entries:
        yield entries
    structlog.configure(wrapper_class=wrapper)
