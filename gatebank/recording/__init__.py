"""An instance writes its exchanges to pcapng files, without ever waiting for them.

section.py        `recording(...)` in the operators' file
recorder.py       what the service hands over: a queue, and the thread that empties it
packet_writer.py  what connections carried as pcapng blocks; no I/O
redaction.py      what is to be hidden, replaced; no I/O
output.py         the file that is written to, and what happens when it can't be
rotation.py       which files there are, when the next one begins and which are removed; no I/O
errors.py         why a recording can't begin

Not imported unless the operators' file has such a section.
"""
