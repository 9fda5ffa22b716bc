"""Traffic in capture files: packets, TCP reassembly, RESP2 exchanges, records. No I/O.

Reading, one layer on another:

compression.py   gzip and zstd, by pieces
pcap.py          the classic file format
pcapng.py        the newer one: sections, interfaces, blocks
packet.py        a packet, and what the parsers of both formats offer
packets.py       a file of either format, compressed or not, to packets
segments.py      a packet to its TCP segment
ip_fragments.py  IP datagrams that came in fragments
connections.py   what is known of a connection and of each of its directions
reassembly.py    segments to the bytes of connections, in order, with their gaps
resp2.py         bytes to commands and responses
pairing.py       which response belongs to which command: a state machine
responses.py     what a response says of its exchange
transactions.py  the exchanges of all connections
records.py       the record of an exchange
reading.py       all of these in a row, with counts

limits.py        what reading holds in memory and waits for
errors.py        errors, with file, offset and reason
timestamps.py    times as a user gives them, and as text
filters.py       which exchanges are wanted
table.py         exchanges as a table for people
terminal.py      text made safe for a terminal
compare.py       exchanges of two captures matched
writing.py       blocks of pcapng, and conversations as packets
"""
