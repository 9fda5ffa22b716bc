"""Errors at a build's oldest endpoints: which endpoints are the oldest, and how their sum is inherited."""

from __future__ import annotations

import pytest

from gatebank import events
from gatebank.core.endpoint_state import EndpointState
from gatebank.core.llr_sums import Statistic
from gatebank.policy.sequential_test import MIN_OLDEST_ENDPOINTS, SAME_AGE_S
from gatebank.state_transfer.items import RatioSum, SequentialTestSums
from gatebank.statistics.endpoint_groups import EndpointGroups
from tests.support.transfer_fixtures import START_TIME, make_balancer, make_endpoint, make_inherited_knowledge


@pytest.mark.parametrize(
    ("starts", "size"),
    [
        ((10.0, 10.2, 11.9, 12.1, 16.0), 4),
        ((10.0, 10.2, 10.1, 10.4, 16.0, 16.3, 16.1), 4),  # two stages
        # a first stage of one endpoint, to which the second stage's endpoints are added
        ((10.0, 16.0, 16.3, 16.1, 22.0), 4),
        ((10.0,), 1),
        ((None, None, None, None, 16.0), 4),  # endpoints with an unknown start count as the oldest
        ((), 0),
    ],
)
def test_oldest_endpoints_started_within_two_seconds_of_the_third(
    starts: tuple[float | None, ...], size: int
) -> None:
    """The oldest endpoints are the first three and all that started within two seconds after the third."""
    endpoints = [EndpointState(make_endpoint(number, 42, started)) for number, started in enumerate(starts)]
    other = EndpointState(make_endpoint(99, 41, 1.0))
    groups = EndpointGroups([*endpoints, other])
    oldest = groups.oldest(42, MIN_OLDEST_ENDPOINTS, SAME_AGE_S)
    assert oldest.size == size
    assert sum(oldest.includes(endpoint) for endpoint in endpoints) == size


def test_sum_of_the_oldest_endpoints_is_inherited() -> None:
    """The sum of errors at the oldest endpoints is inherited; the sum of an unknown statistic is ignored."""
    balancer, names = make_balancer()
    status = events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, 42, 1, events.Phase.CANARY, 0.2)
    balancer.on_release_status(status)
    oldest = Statistic.oldest_errors(len(names.request_classes))
    sums = SequentialTestSums(
        origin="x",
        age=1.0,
        outcomes=9,
        instance=1,
        incarnation=77,
        build=42,
        stage=1,
        ratios={oldest: RatioSum(2.5, 9), oldest + 1: RatioSum(9.0, 9)},
    )
    inherited = make_inherited_knowledge(balancer, names, "me")
    inherited.put([sums], START_TIME)
    balancer.apply_inherited_state(inherited.inherited_state(inherited.merged(START_TIME), START_TIME))
    assert balancer.state.test
    assert balancer.state.test.sums.fused[oldest] == 2.5
