"""Records an instance's exchanges to pcapng files; the service never waits for the writes.

section.py        the `recording(...)` section of the operators' file
recorder.py       the queue that the service fills, and the thread that writes its events
packet_writer.py  encodes the bytes of connections as pcapng blocks; no I/O
redaction.py      replaces values that must not be recorded; no I/O
output.py         the current output file, and retries after write errors
rotation.py       file names, file rotation and removal of old files; no I/O
errors.py         the error raised if a recording cannot start

The package is imported only if the operators' file has a `recording(...)` section.
"""
