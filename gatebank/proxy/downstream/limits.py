"""Bounds and timeouts of client connections, with the reasons for them.

PROTOCOL, the specification of the protocol, allows 3 s for the error reply to malformed input, and defines
when an instance may close a client connection.
"""

from __future__ import annotations

# Commands in flight on one connection; the connection is read again when there are fewer. With many
# connections there are fewer for each, so that all together have no more than MAX_PIPELINED_IN_ALL.
MAX_PIPELINED = 64
MIN_PIPELINED = 4
MAX_PIPELINED_IN_ALL = 4096
# Commands in one turn of the loop of all clients that have more commands waiting, or that send large ones.
COMMANDS_PER_TURN = 8
SMALL_COMMAND_BYTES = 2048  # Size of the arguments of a command that is handled as soon as it is read.
CHECK_INTERVAL_S = 0.1  # Interval at which the timeouts below are checked.
CHECKS_PER_TURN = 64  # Connections whose timeouts are checked in one turn, if none is closed.
CHECKS_PER_CLOSE = 8  # A close costs as much: the kernel frees the bytes that nobody has read.

# Some clients write slowly, in pieces. Both timeouts for commands stay below the 3 s that are allowed in all.
# Timeout for the first command of a connection, and for the next byte of a command that was begun.
COMMAND_IDLE_TIMEOUT_S = 1.2
# Silence within a command after which its memory may be given to another client.
STALLED_COMMAND_S = 0.3
COMMAND_TIMEOUT_S = 2.5  # Timeout for receiving a whole command, from its first byte.

# Time that a request spent in the kernel's receive buffer counts against the client's timeout from this
# duration on: the kernel reports it in steps of some milliseconds.
MIN_COUNTED_WAIT_S = 0.02

# Time that requests in flight get to finish after malformed input behind them has ended the reading.
CLOSING_TIMEOUT_S = 1.2
# Delay between the error line that ends a connection and the close, so that the client can read the line.
LINGER_S = 0.25
# The same behind malformed input: a client that comes again as soon as its connection ends makes work for
# an accept and a close each time. Its connection is the first to be closed for another, and at shutdown.
ERROR_LINGER_S = 1.0

# Input behind malformed input that is read and dropped, so that the client is not reset before it has read
# the error line: several times the largest command.
MAX_DISCARDED_BYTES = 512 * 1024
DISCARD_READ_BYTES = 64 * 1024
DISCARDS_PER_TURN = 8  # Such reads in one turn of the loop, of all connections.

IDLE_TIMEOUT_S = 60.0  # Timeout of a connection without a request in flight.
# Idle timeout where more than half of the allowed connections are open.
CROWDED_IDLE_TIMEOUT_S = 2.0
# Time that a new connection gets to send its first command before it may be closed to make room for others.
FIRST_COMMAND_GRACE_S = 0.1

# Each further consecutive command that cannot be carried out adds this pause before the next command is read.
BAD_COMMAND_PAUSE_S = 0.1
MAX_BAD_COMMANDS = 8  # Number of consecutive bad commands that ends the connection.
MAX_BAD_COMMANDS_WHEN_FULL = 2  # The same while all places are taken, so that others wait less for one.

WRITE_STALL_TIMEOUT_S = 10.0  # Timeout of a client that accepts no byte of its replies.
SMALL_REPLY_BYTES = 512  # A reply up to this size is kept even if the memory for replies is used up.
WRITE_CHUNK_BYTES = 64 * 1024  # Size of one write of reply bytes that the kernel did not take at once.
MAX_WRITE_PARTS = 64  # Buffers passed to one system call; more parts are joined before the call.

LISTEN_BACKLOG = 1024
# Receive buffer of a client connection in the kernel, which uses twice as much. The end of a connection is
# visible only if all bytes before it fit.
KERNEL_RECEIVE_BYTES = 208 * 1024
# A connection that is not read and holds more unread bytes than this may have been closed without a sign. The
# value is below what fits into KERNEL_RECEIVE_BYTES in segments of a hundred bytes.
MAX_UNREAD_BYTES = 32 * 1024
MAX_UNREAD_S = 0.05  # Time for which such a connection counts as open: half of what STANDING allows.
# Connections accepted before the open ones are served again: a flood of new ones delays these by as much.
MAX_ACCEPTS_PER_TURN = 32
ACCEPT_RETRY_S = 0.05  # Delay after a failed accept, after which descriptors may be free again.
# Time that a client gets to take its last answer before its connection may be closed to make room for others;
# the system still sends what it has, unless the client sends more.
UNTAKEN_GRACE_S = 0.5
# Where all places are taken and none is idle, clients with more than MIN_PIPELINED commands lose theirs, and
# those that still send a command which has its answer.
EVICTIONS_PER_TURN = 32
# Time that the requests in flight of such a client get, and after them the client to take the answers.
EVICTION_GRACE_S = 0.5
MAKE_ROOM_RETRY_S = 0.01  # Interval of the search for a connection that may be closed to make room.
SHUTDOWN_CHECK_INTERVAL_S = 0.02  # Interval of the search for idle connections during shutdown.

# New connections may arrive until 0.4 s after SIGTERM (PROTOCOL).
ACCEPT_AFTER_SIGTERM_S = 0.45
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as MAX_COUNTED_DEADLINE_S at most,
# plus SIGKILL_GRACE_S. A request that arrives later than SIGKILL_GRACE_S after SIGTERM and is unanswered at
# SIGKILL is lost (PROTOCOL).
MAX_COUNTED_DEADLINE_S = 3.0
SIGKILL_GRACE_S = 0.7
# Minimum time between a request's deadline and SIGKILL: an instance may be held up for so long (STANDING).
SIGKILL_MARGIN_S = 0.15
# From this long before SIGKILL, a connection that was never idle is not read any more: twice LINGER_S.
STOP_READING_MARGIN_S = 0.5

# From this long before SIGKILL, requests in flight are failed, so that each has its final answer and none
# holds back the answers behind it: SIGKILL_MARGIN_S, and time to write.
LAST_ANSWERS_MARGIN_S = 0.25

# Minimum interval between log lines about malformed input: a flood of it would fill the log.
PROTOCOL_ERROR_LOG_INTERVAL_S = 1.0
