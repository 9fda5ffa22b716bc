"""Requests that arrived and attempts that were sent or ended in the last seconds."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gatebank.peer_messages import NO_LOAD, LoadKey, LoadSample
from gatebank.statistics.sliding_window import SlidingWindow


class FinishedAttempt(NamedTuple):
    """An attempt that was answered successfully or given up."""

    finished_at: float
    key: LoadKey
    duration: float
    succeeded: bool


class RateWindows(NamedTuple):
    """The windows of request rates; times in seconds.

    Attributes:
        window: the time over which requests are counted.
        min_window: the shortest window, used just after the start.
        tick_interval: the time between updates of the rates.
        smoothing_weight: the weight of an update in the smoothed rate.
    """

    window: float
    min_window: float
    tick_interval: float
    smoothing_weight: float


class Traffic:
    """Sliding windows of requests and attempts; `expire` drops old entries.

    Attributes:
        arrivals: requests by tenant.
        accepted: requests by request class, for the exposure cap.
        new_requests: requests that are not repetitions by a client.
        served: successful attempts by request class.
        finished: finished attempts for this instance's reports.
        attempts_by_build: attempts by request class, in one window per build.
        request_rate: new requests per second.
        smoothed_request_rate: the moving mean of ``request_rate`` over several seconds.
    """

    def __init__(self) -> None:
        self.arrivals: SlidingWindow[int] = SlidingWindow()
        self.accepted: SlidingWindow[int] = SlidingWindow()
        self.new_requests: SlidingWindow[None] = SlidingWindow()
        self.served: SlidingWindow[int] = SlidingWindow()
        self.finished: deque[FinishedAttempt] = deque()
        self.attempts_by_build: dict[int, SlidingWindow[int]] = {}
        self.request_rate = 0.0
        self.smoothed_request_rate = 0.0

    def attempts_to(self, build: int) -> SlidingWindow[int]:
        """Return the window of attempts at endpoints of a build."""
        window = self.attempts_by_build.get(build)
        if window is None:
            window = self.attempts_by_build[build] = SlidingWindow()
        return window

    def expire(self, *, exposure_before: float, arrivals_before: float, rates_before: float) -> None:
        """Drop entries that are older than the given times."""
        for window in (self.accepted, *self.attempts_by_build.values()):
            window.expire(exposure_before)
        self.attempts_by_build = {build: window for build, window in self.attempts_by_build.items() if window}
        while self.finished and self.finished[0].finished_at < rates_before:
            self.finished.popleft()
        self.arrivals.expire(arrivals_before)
        self.served.expire(rates_before)
        self.new_requests.expire(rates_before)

    def update_rates(self, since_start: float, windows: RateWindows) -> None:
        """Update the rates of new requests.

        Args:
            since_start: seconds since this incarnation started.
            windows: the windows and weights of the rates.
        """
        self.request_rate = len(self.new_requests) / min(windows.window, max(windows.min_window, since_start))
        weight = max(
            windows.smoothing_weight, windows.tick_interval / max(windows.tick_interval, since_start)
        )
        self.smoothed_request_rate += (self.request_rate - self.smoothed_request_rate) * weight

    def loads(self, window: float) -> dict[LoadKey, LoadSample]:
        """Return the load per second by the finished attempts of the last ``window`` seconds."""
        per_second = 1 / window
        loads: dict[LoadKey, LoadSample] = {}
        for finished in self.finished:
            row = loads.get(finished.key, NO_LOAD)
            time = per_second * finished.duration
            loads[finished.key] = LoadSample(
                row.answer_rate + per_second * finished.succeeded,
                row.answer_time + time * finished.succeeded,
                row.given_up_time + time * (not finished.succeeded),
            )
        return loads
