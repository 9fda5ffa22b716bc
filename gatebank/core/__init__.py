"""What an instance stores, sums, ages and encodes. No I/O, no threshold and no choice: these are in policy/.

    endpoint_state.py     what is known of one endpoint
    endpoint_table.py     the endpoint list as last told
    request_state.py      a request and its attempts
    traffic.py            what came and was sent in the last seconds
    latency.py            usual answer times
    llr_sums.py           the LLRs of one build at one stage: own, unsent, fused
    fleet_view.py         what other instances reported
    voting.py             this instance's votes
    state.py              all of it together, for one instance
    inheritance.py        taking over what other instances know

`gatebank.balancer` feeds events into it and asks policy/ what to do.
"""
