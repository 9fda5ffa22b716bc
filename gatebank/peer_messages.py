"""The messages between instances and their binary encoding. What is sent and when is decided in policy/.

An `LlrDelta` is the message of the design for one LLR: sign and rounded size as one signed level. An
`InstanceReport` holds the sender's whole sums and its load. A `FleetReport` holds the load of all instances
together and its sender's verdict on a build at a stage.

>>> delta = LlrDelta(incarnation=7, build=42, stage=1, statistic=0, level=-3, outcomes=12, endpoint_hash=513)
>>> decode(encode(delta)) == delta, len(encode(delta))
(True, 12)
>>> loads = {LoadKey(0, 1, CANARY): LoadSample(8.5, 0.25, 0.0)}
>>> report = InstanceReport(7, 42, 1, 12.5, 3, loads, {0: LlrSum(-1.25, 40), 4: LlrSum(0.5, 3)})
>>> decode(encode(FleetReport(360.0, 120.0, loads, 42, 1, 3))).request_rate, len(encode(report))
(360.0, 29)
>>> decode(encode(report)) == report, decode(encode(report)[:-1]), decode(b"")
(True, None, None)
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import chain, islice
from typing import NamedTuple
from zlib import crc32

_HEADER = struct.Struct("<BHHB")  # tag, incarnation, build, stage
_DELTA = struct.Struct("<BbHH")  # statistic, level, outcomes, endpoint hash
_REPORT_LOAD = struct.Struct("<eeB")  # request rate, outstanding attempts, rows of load
_SUM = struct.Struct("<BeH")  # statistic, value, outcomes
_LOAD = struct.Struct("<BBeee")  # request class, machine kind and side, the three figures of a sample
_FLEET = struct.Struct("<BffHBB")  # tag, request rate, outstanding, build, stage, verdict

# Tags 2, 3 and 5 marked earlier formats without machine kind, side or verdict. Such messages are dropped and
# counted.
_DELTA_TAG = 1
_REPORT_TAG = 4
_FLEET_TAG = 6

MAX_MESSAGE_BYTES = 256
_MAX_LOAD_ROWS = 24  # leaves room for some sums in a message
_MAX_HALF_FLOAT = 65000.0  # about the largest number that a two-byte float holds
_MAX_VERDICT = 3
_MAX_FIGURE = 1e6  # no working instance sends figures of this size
_MASK_16_BITS = 0xFFFF

# Sides of a load row: endpoints of a baseline build, endpoints of the canary, and endpoints of any build that
# have just started.
BASELINE = 0
CANARY = 1
WARMING_UP = 2


class LoadKey(NamedTuple):
    """Identifies a row of load: indices in the settings, and a side."""

    request_class: int
    machine_kind: int
    side: int


class LoadSample(NamedTuple):
    """Load per second: the number of answers, their total latency, and the time of attempts given up."""

    answer_rate: float
    answer_time: float
    given_up_time: float


class LlrSum(NamedTuple):
    """A sum of log-likelihood ratios, and the number of outcomes behind it."""

    value: float
    outcomes: int


class MeanLatency(NamedTuple):
    """Mean seconds per answer, without and with the time of attempts that were given up."""

    per_answer: float
    including_given_up: float


NO_LOAD = LoadSample(0.0, 0.0, 0.0)
Loads = Mapping[LoadKey, LoadSample]


@dataclass(slots=True, frozen=True)
class LlrDelta:
    """The change of one LLR, sent after the LLR has moved by more than Δ.

    Attributes:
        incarnation: distinguishes the starts of an instance.
        build: the last 16 bits of the build's number, as in the other messages.
        stage: the stage of the release.
        statistic: the number of the statistic that the LLR belongs to.
        level: the sign and rounded size of the change.
        outcomes: the number of outcomes since the last message.
        endpoint_hash: the name hash of the endpoint whose outcome moved the LLR past Δ.
    """

    incarnation: int
    build: int
    stage: int
    statistic: int
    level: int
    outcomes: int
    endpoint_hash: int


@dataclass(slots=True, frozen=True)
class InstanceReport:
    """The whole sums of one instance by statistic, and its load.

    ``request_rate`` counts new requests per second, without repetitions by clients; ``outstanding`` counts
    outstanding attempts.
    """

    incarnation: int
    build: int
    stage: int
    request_rate: float
    outstanding: float
    loads: Loads
    sums: Mapping[int, LlrSum]


@dataclass(slots=True, frozen=True)
class FleetReport:
    """The load of all instances together, and the sender's verdict (`events.Verdict`) on a build."""

    request_rate: float
    outstanding: float
    loads: Loads
    build: int = 0
    stage: int = 0
    verdict: int = 0

    def by_request_class(self, count: int) -> list[LoadSample]:
        """Return the load of each of ``count`` request classes, summed over machine kinds and sides.

        >>> loads = {LoadKey(1, 0, 1): LoadSample(2.0, 0.5, 3.0)}
        >>> loads[LoadKey(1, 1, 0)] = LoadSample(1.0, 0.5, 0.0)
        >>> FleetReport(9.0, 1.0, loads).by_request_class(2)[1]
        LoadSample(answer_rate=3.0, answer_time=1.0, given_up_time=3.0)
        """
        rows_by_class = [
            [row for key, row in self.loads.items() if key.request_class == index] for index in range(count)
        ]
        return [
            LoadSample(*(sum(column, 0.0) for column in zip(NO_LOAD, *class_rows, strict=True)))
            for class_rows in rows_by_class
        ]

    def baseline_latency(self, min_answer_rate: float) -> dict[tuple[int, int], MeanLatency]:
        """Return the baseline's mean latencies by request class and machine kind.

        Args:
            min_answer_rate: entries with fewer answers per second are left out.
        """
        rows = {
            key[:2]: row
            for key, row in self.loads.items()
            if key.side == BASELINE and row.answer_rate >= min_answer_rate
        }
        return {
            key: MeanLatency(
                row.answer_time / row.answer_rate, (row.answer_time + row.given_up_time) / row.answer_rate
            )
            for key, row in rows.items()
        }

    def canary_latency_ratio(
        self, baseline: Mapping[tuple[int, int], MeanLatency], min_answer_rate: float
    ) -> float:
        """Return the canary's mean time per answer relative to the baseline's, 0 if too little is known.

        >>> rows = {
        ...     LoadKey(0, 0, BASELINE): LoadSample(9.0, 1.8, 0.0),
        ...     LoadKey(0, 0, CANARY): LoadSample(4.0, 0.8, 0.8),
        ...     LoadKey(0, 0, WARMING_UP): LoadSample(4.0, 9.0, 0.0),
        ... }
        >>> fleet = FleetReport(9.0, 1.0, rows)
        >>> fleet.canary_latency_ratio(fleet.baseline_latency(1.0), 1.0), fleet.canary_latency_ratio({}, 1.0)
        (2.0, 0.0)
        """
        answer_rate = 0.0
        canary_time = 0.0
        expected_time = 0.0
        for key, row in self.loads.items():
            if key.side == CANARY and key[:2] in baseline:
                answer_rate += row.answer_rate
                canary_time = canary_time + row.answer_time + row.given_up_time
                expected_time += row.answer_rate * baseline[key[:2]].including_given_up
        return canary_time / expected_time if answer_rate >= min_answer_rate and expected_time > 0 else 0.0


PeerMessage = LlrDelta | InstanceReport | FleetReport


def name_hash(name: str) -> int:
    """Return the hash of an endpoint's name, which is the same at all instances."""
    return crc32(name.encode()) & _MASK_16_BITS


def merge_reports(reports: list[InstanceReport], verdict: int = 0) -> FleetReport:
    """Return a fleet report with the summed loads and a verdict on the build and stage of the last report.

    >>> first = {LoadKey(0, 0, 0): LoadSample(2.0, 0.5, 0.0)}
    >>> second = {LoadKey(0, 0, 0): LoadSample(1.0, 1.5, 3.0)}
    >>> reports = [InstanceReport(1, 0, 0, 2.0, 1, first, {}), InstanceReport(2, 7, 1, 1.0, 2, second, {})]
    >>> merged = merge_reports(reports, 1)
    >>> merged.request_rate, merged.outstanding, merged.loads[0, 0, 0].answer_time, merged.build
    (3.0, 3, 2.0, 7)
    """
    loads: dict[LoadKey, LoadSample] = {}
    for report in reports:
        for key, row in report.loads.items():
            total = loads.get(key, NO_LOAD)
            loads[key] = LoadSample(
                total.answer_rate + row.answer_rate,
                total.answer_time + row.answer_time,
                total.given_up_time + row.given_up_time,
            )
    rate = sum(report.request_rate for report in reports)
    outstanding = sum(report.outstanding for report in reports)
    return FleetReport(rate, outstanding, loads, reports[-1].build, reports[-1].stage, verdict)


def short_build(build: int) -> int:
    """Return a build's number as messages hold it, cut to its last 16 bits.

    >>> decode(encode(LlrDelta(7, 20261202, 0, 0, 1, 1, 1))).build == short_build(20261202)
    True
    """
    return build & _MASK_16_BITS


def encode(message: PeerMessage) -> bytes:
    """Encode a message; too large figures are clamped, and rows beyond the maximum size are left out."""
    if isinstance(message, LlrDelta):
        header = _HEADER.pack(_DELTA_TAG, message.incarnation, short_build(message.build), message.stage)
        outcomes = min(message.outcomes, _MASK_16_BITS)
        return header + _DELTA.pack(message.statistic, message.level, outcomes, message.endpoint_hash)
    loads = _encode_loads(message.loads)
    if isinstance(message, FleetReport):
        build = short_build(message.build)
        rate = message.request_rate
        header = _FLEET.pack(_FLEET_TAG, rate, message.outstanding, build, message.stage, message.verdict)
        return header + loads
    header = _HEADER.pack(_REPORT_TAG, message.incarnation, short_build(message.build), message.stage)
    header += _REPORT_LOAD.pack(
        min(_MAX_HALF_FLOAT, message.request_rate),
        min(_MAX_HALF_FLOAT, message.outstanding),
        len(loads) // _LOAD.size,
    )
    sums = [
        _SUM.pack(statistic, max(-_MAX_HALF_FLOAT, min(_MAX_HALF_FLOAT, value)), min(outcomes, _MASK_16_BITS))
        for statistic, (value, outcomes) in message.sums.items()
    ]
    fitting = (MAX_MESSAGE_BYTES - len(header + loads)) // _SUM.size
    return header + loads + b"".join(sums[:fitting])


def _encode_loads(loads: Loads) -> bytes:
    encodable = (row for row in loads.items() if row[0][0] < 256 and row[0][1] < 64)
    return b"".join(
        _LOAD.pack(request_class, 4 * kind + side, *(min(_MAX_HALF_FLOAT, figure) for figure in sample))
        for (request_class, kind, side), sample in islice(encodable, _MAX_LOAD_ROWS)
    )


def decode(data: bytes) -> PeerMessage | None:
    """Decode a message; None if the bytes are malformed or hold implausible figures."""
    try:
        if data[:1] == bytes((_FLEET_TAG,)):
            return _decode_fleet_report(data)
        tag, incarnation, build, stage = _HEADER.unpack_from(data)
        body = data[_HEADER.size :]
        if tag == _DELTA_TAG:
            statistic, level, outcomes, endpoint_hash = _DELTA.unpack(body)
            delta = LlrDelta(incarnation, build, stage, statistic, level, outcomes, endpoint_hash)
            return delta if level else None
        return _decode_instance_report(incarnation, build, stage, body) if tag == _REPORT_TAG else None
    except struct.error:
        return None


def _decode_fleet_report(data: bytes) -> FleetReport | None:
    _, rate, outstanding, build, stage, verdict = _FLEET.unpack_from(data)
    loads = _decode_loads(data[_FLEET.size :])
    if verdict > _MAX_VERDICT or not _all_plausible(rate, outstanding, *chain(*loads.values())):
        return None
    return FleetReport(rate, outstanding, loads, build, stage, verdict)


def _decode_instance_report(incarnation: int, build: int, stage: int, body: bytes) -> InstanceReport | None:
    rate, outstanding, row_count = _REPORT_LOAD.unpack_from(body)
    rest = body[_REPORT_LOAD.size :]
    loads = _decode_loads(rest[: row_count * _LOAD.size])
    rows = list(_SUM.iter_unpack(rest[row_count * _LOAD.size :]))
    sizes = (abs(value) for _, value, _ in rows)
    if not _all_plausible(rate, outstanding, *chain(*loads.values()), *sizes):
        return None
    sums = {statistic: LlrSum(value, outcomes) for statistic, value, outcomes in rows}
    return InstanceReport(incarnation, build, stage, rate, outstanding, loads, sums)


def _decode_loads(data: bytes) -> dict[LoadKey, LoadSample]:
    return {
        LoadKey(request_class, kind_and_side >> 2, kind_and_side & 3): LoadSample(*figures)
        for request_class, kind_and_side, *figures in _LOAD.iter_unpack(data)
    }


def _all_plausible(*figures: float) -> bool:
    return all(0 <= figure < _MAX_FIGURE for figure in figures)
