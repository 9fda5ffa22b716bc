"""Analysis of traffic in capture files: packets, TCP reassembly, RESP2 exchanges, records. No I/O.

The modules that read a capture, from the lowest layer to the highest:

compression.py   decompress gzip and zstd incrementally
pcap.py          parse the classic pcap file format
pcapng.py        parse the pcapng file format: sections, interfaces, blocks
packet.py        the packet type, and the interface of the two format parsers
packets.py       read packets from a file of either format, compressed or not
segments.py      decode a packet to its TCP segment
ip_fragments.py  reassemble fragmented IP datagrams
connections.py   the state of a TCP connection and of its two directions
reassembly.py    put the segments of each connection in order, and report gaps
resp2.py         parse the byte streams into commands and responses
pairing.py       a state machine that pairs each response with its command
responses.py     derive an exchange's outcome from its response
transactions.py  collect the exchanges of all connections
records.py       the record of an exchange
reading.py       the whole chain from file to exchanges, with counters

limits.py        limits on memory and waiting times while reading
errors.py        exceptions, with file, offset and reason
timestamps.py    parse and format times
filters.py       select exchanges
table.py         format exchanges as a table
terminal.py      make text safe to print on a terminal
compare.py       match the exchanges of two captures
writing.py       write pcapng blocks, and connections as packets
"""
