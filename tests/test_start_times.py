"""The wall clock steps by an hour: an endpoint that has just started is neither old nor in the future."""

from __future__ import annotations

import pytest

from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.start_times import StartTimes
from gatebank.settings import Settings

HOUR_S = 3600.0
START = 1_796_000_000.0


class Clocks:
    """The instance's clock and the wall clock, which a test moves and steps."""

    def __init__(self) -> None:
        self.now = START
        self.step = 0.0
        self.registry = EndpointRegistry(Settings(), StartTimes(lambda: self.now, self.wall_clock))

    def wall_clock(self) -> float:
        return self.now + self.step

    def age(self, name: str, listed: float) -> float:
        """List an endpoint with this start time, and return its age on the instance's clock."""
        row = {
            "instanceId": name,
            "hostPort": "127.0.0.1:6379",
            "lifecycle": "SERVING",
            "startedAtMs": int(listed * 1000),
        }
        listing = self.registry.parse_list({"generation": 1, "reset": False, "instances": [row]})
        started = listing.endpoints[0].started_at
        assert started is not None
        assert self.registry.start_times
        self.registry.start_times.on_listing()
        return self.now - started


@pytest.fixture
def clocks() -> Clocks:
    clocks = Clocks()
    clocks.age("old", START - 500.0)
    clocks.now += 2.0
    return clocks


def test_without_a_step_start_times_are_taken_as_listed(clocks: Clocks) -> None:
    assert clocks.age("new", clocks.now - 1.5) == 1.5
    assert clocks.registry.index_of("old") == 0


@pytest.mark.parametrize("step", [HOUR_S, -HOUR_S])
def test_endpoint_that_starts_after_a_step_has_its_true_age(clocks: Clocks, step: float) -> None:
    clocks.step = step
    assert clocks.age("new", clocks.wall_clock() - 1.5) == pytest.approx(1.5, abs=0.01)


@pytest.mark.parametrize("step", [HOUR_S, -HOUR_S])
def test_step_between_the_start_and_its_listing_makes_no_endpoint_warm(clocks: Clocks, step: float) -> None:
    listed = clocks.wall_clock()
    clocks.now += 1.0
    clocks.step = step
    assert 0.0 <= clocks.age("new", listed) <= 3.0


@pytest.mark.parametrize("step", [HOUR_S, -HOUR_S])
def test_step_changes_the_age_of_no_endpoint_that_is_listed_already(clocks: Clocks, step: float) -> None:
    listed = clocks.now - 1.0
    assert clocks.age("new", listed) == 1.0
    clocks.step = step
    clocks.now += 2.0
    assert clocks.age("new", listed) == 3.0


def test_first_list_of_an_instance_may_hold_endpoints_of_any_age() -> None:
    assert Clocks().age("old", START - 500.0) == 500.0
