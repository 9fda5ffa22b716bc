"""Keys and certificates for the connections between instances, and TLS on these connections.

authority.py   creates a certificate authority and the keys of instances (uses the library cryptography)
folder.py      reads and checks a key folder, and reloads its TLS contexts while the instance runs
tls_stream.py  TLS without sockets: takes and returns bytes
section.py     the section `keys(...)` of the operators' file
"""
