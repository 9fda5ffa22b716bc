"""Stand-ins for clients, nodes, discovery and the platform, and the start of one instance.

They use the standard library alone and follow PROTOCOL; nothing here imports gatebank.
"""
