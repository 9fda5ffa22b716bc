"""RESP2, the protocol of clients and endpoints, without I/O.

`codec` finds messages in a buffer and encodes them, `commands` parses the commands of clients,
`endpoint_replies` parses the replies of endpoints, and `session` is the interface that connections use. A
second protocol would be a package beside this one with its own `ClientSession` and `EndpointSession`:
connections, limits, pools and dispatcher do not depend on RESP2.
"""
