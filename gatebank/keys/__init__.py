"""Keys and certificates of connections between instances, and TLS on them.

authority.py   makes a certificate authority and the keys of instances (cryptography)
folder.py      reads and checks a folder of keys; contexts that are renewed in service
tls_stream.py  TLS without sockets: bytes in, bytes out
section.py     `keys(...)` in the operators' file
"""
