"""Traffic in capture files: packets, TCP put together again, dialogues, records. No I/O.

packets.py    pcap and pcapng, compressed or not, to packets
layers.py     a packet to its TCP segment
streams.py    segments to the bytes of connections, in order, with their holes
dialogues.py  bytes to commands and answers, paired; RESP2 is the first protocol
records.py    one record an exchange, its forms and filters
reading.py    all of these in a row, with counts
compare.py    exchanges of two captures matched
writing.py    blocks of pcapng, and conversations as packets
"""
