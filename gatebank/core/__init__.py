"""The state of an instance. Thresholds and decisions are in policy/; no module here does I/O.

    endpoint_state.py     the state of one endpoint
    endpoint_table.py     the latest endpoint list
    request_state.py      a request and its attempts
    traffic.py            requests and attempts of the last seconds
    latency.py            mean latencies
    measurement.py        taking results into latencies and the baseline's counts
    load.py               load and unanswered attempts as this instance sees them
    llr_sums.py           the LLRs of one build at one stage: own, unsent, fused
    fleet_view.py         reports of other instances
    voting.py             the votes of this instance
    state.py              the whole state of one instance
    inheritance.py        taking over state of other instances

`gatebank.balancer` passes events to these modules and asks policy/ for decisions.
"""
