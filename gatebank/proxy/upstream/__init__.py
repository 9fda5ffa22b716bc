"""Upstream side: connections to endpoints, and the attempts and health checks on them.

`Upstream` owns a `ConnectionPool` for each endpoint process; a pool owns its connections. This package never
sends an attempt again: each retry is a decision of the balancer.
"""

from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.upstream.attempt import Attempt, EndpointKey
from gatebank.proxy.upstream.connection import EndpointConnection
from gatebank.proxy.upstream.pool import ConnectionPool
from gatebank.proxy.upstream.pools import Upstream

__all__ = ["Attempt", "ConnectionPool", "EndpointConnection", "EndpointKey", "EndpointReply", "Upstream"]
