"""Bounds and times of clients' connections, each with its reason.

PROTOCOL allows 3 s for the answer to what is no command, and says when a client may be closed.
"""

from __future__ import annotations

MAX_PIPELINED = 64  # commands of a connection in flight before it is read on
CHECK_INTERVAL_S = 0.1  # between looks at the clocks below

# Some clients write slowly, in pieces; 3 s are allowed in all.
COMMAND_IDLE_TIMEOUT_S = 1.2  # for a first command, and without a byte more of a begun one
COMMAND_TIMEOUT_S = 2.5  # for the whole of a begun one

# Time in the system's buffers counts for a client's timeout from here on: the system tells it in steps of
# some milliseconds.
MIN_COUNTED_WAIT_S = 0.02

CLOSING_TIMEOUT_S = 1.2  # that what is in flight has, once something behind it could not be read
LINGER_S = 0.25  # between an error line that ends a connection and its end, so that the line is read

IDLE_TIMEOUT_S = 60.0  # without an open request
CROWDED_IDLE_TIMEOUT_S = 2.0  # the same where more than half the room is taken
FIRST_COMMAND_GRACE_S = 0.1  # in which who came gets to speak, before it makes room for others

BAD_COMMAND_PAUSE_S = 0.1  # more before each next command behind one that can't be carried out
MAX_BAD_COMMANDS = 8  # in a row; so many end the connection

WRITE_STALL_TIMEOUT_S = 10.0  # without a byte of an answer taken
WRITE_CHUNK_BYTES = 64 * 1024  # of an answer that waits, written at once
MAX_WRITE_PARTS = 64  # of one system call: beyond it the parts are joined

LISTEN_BACKLOG = 1024
ACCEPT_RETRY_S = 0.05  # after a failed accept: descriptors may be free again
MAKE_ROOM_RETRY_S = 0.01  # between looks for a connection that may make room
SHUTDOWN_CHECK_INTERVAL_S = 0.02  # between looks for idle connections as the instance leaves

ACCEPT_AFTER_SIGTERM_S = 0.45  # until 0.4 s after it new connections go on coming (PROTOCOL)
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as so long at most, and then
# KILL_GRACE_S; what comes later than KILL_GRACE_S and is unanswered then is lost (PROTOCOL).
MAX_COUNTED_DEADLINE_S = 3.0
SIGKILL_GRACE_S = 0.7
SIGKILL_MARGIN_S = (
    0.15  # before that a deadline lies at the latest: an instance may be held up so long (STANDING)
)
STOP_READING_MARGIN_S = 0.5  # before that a connection that was never idle is read no more: twice LINGER_S

PROTOCOL_ERROR_LOG_INTERVAL_S = 1.0  # between log lines on what is no command: a flood would fill the log
