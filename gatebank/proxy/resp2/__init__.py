"""RESP2, the protocol of clients and endpoints, without I/O.

`codec` finds messages in a buffer and encodes them; `commands` reads what clients send; `endpoint_replies`
what endpoints answer; `session` is what connections use. A second protocol is a folder beside this one with a
`ClientSession` and an `EndpointSession` of its own: connections, limits, pools and dispatcher know no RESP2.
"""
