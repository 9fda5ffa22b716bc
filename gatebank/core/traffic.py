"""What came, was sent and ended in the last seconds."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gatebank.peer_messages import NO_LOAD, LoadKey, LoadSample
from gatebank.statistics.sliding_window import SlidingWindow


class FinishedAttempt(NamedTuple):
    """An attempt that was answered or given up."""

    finished_at: float
    key: LoadKey
    duration: float
    succeeded: bool


class RateWindows(NamedTuple):
    """Over how long rates are counted, in seconds, and a tick's weight in the steady rate."""

    window: float
    min_window: float
    tick_interval: float
    steady_weight: float


class Traffic:
    """Counts that `forget` empties by time.

    Attributes:
        arrivals: requests by tenant.
        accepted: requests by class, for the exposure cap.
        first_tries: requests that are no client's repetition.
        served: successful attempts by class.
        finished: attempts for this instance's reports.
        sent: attempts by class, a window for each build.
        rate: first tries a second.
        steady_rate: the same over some seconds.
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
        """The window of attempts at a build."""
        window = self.attempts_by_build.get(build)
        if window is None:
            window = self.attempts_by_build[build] = SlidingWindow()
        return window

    def forget(self, *, exposure_before: float, arrivals_before: float, rates_before: float) -> None:
        """Drop what is older than these times."""
        for window in (self.accepted, *self.attempts_by_build.values()):
            window.forget(exposure_before)
        self.attempts_by_build = {build: window for build, window in self.attempts_by_build.items() if window}
        while self.finished and self.finished[0].finished_at < rates_before:
            self.finished.popleft()
        self.arrivals.forget(arrivals_before)
        self.served.forget(rates_before)
        self.new_requests.forget(rates_before)

    def update_rates(self, since_start: float, windows: RateWindows) -> None:
        """The rates of first tries, as of now."""
        self.request_rate = len(self.new_requests) / min(windows.window, max(windows.min_window, since_start))
        weight = max(windows.steady_weight, windows.tick_interval / max(windows.tick_interval, since_start))
        self.smoothed_request_rate += (self.request_rate - self.smoothed_request_rate) * weight

    def loads(self, window: float) -> dict[LoadKey, LoadSample]:
        """The finished attempts of a window of that many seconds, as load a second."""
        share = 1 / window
        loads: dict[LoadKey, LoadSample] = {}
        for finished in self.finished:
            row = loads.get(finished.key, NO_LOAD)
            time = share * finished.duration
            loads[finished.key] = LoadSample(
                row.answer_rate + share * finished.succeeded,
                row.answer_time + time * finished.succeeded,
                row.given_up_time + time * (not finished.succeeded),
            )
        return loads
