"""Limits on client connections: sizes, counts and times. None of them is configurable.

The modules of this package read each limit from this module at the time of use.
"""

from __future__ import annotations

# Sizes.

MAX_HEAD_BYTES = 16 * 1024  # request line and headers; a longer head gets a 431
# Maximum size of one read. Each connection may exceed the limits on buffered bytes by this amount.
READ_SIZE_BYTES = 16 * 1024
# Reading is paused above these limits on the bytes buffered while a request waits for its response, for one
# connection and for all connections. They are far larger than the one full-size request that a client may
# pipeline, because the event loop cannot detect a disconnect behind bytes that it has not read.
MAX_BUFFERED_BYTES_PER_CONNECTION = 1024 * 1024
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

# Maximum size of one read while memory is short, unless the request has its memory reserved.
SMALL_READ_SIZE_BYTES = 1024
# An incomplete head of this size needs no reservation while memory is short.
UNRESERVED_HEAD_BYTES = 2048

# Memory, in bytes, that is charged to the memory budget. A test compares it with what is allocated.

CLIENT_CONNECTION_BYTES = 6 * 1024  # transport, parser and state of a connection
OPEN_REQUEST_BYTES = 6 * 1024  # a request from its head to its response: client side, driver, policy, attempt
UNCHARGED_HEAD_BYTES = 1024  # heads of this size are covered by OPEN_REQUEST_BYTES
HEAD_RESERVATION_BYTES = MAX_HEAD_BYTES + READ_SIZE_BYTES  # an incomplete head, and the read that exceeds it
PIECE_BYTES = 160  # a read that waits to be parsed, besides its bytes
BODY_COST = 1.15  # memory for each byte of a body, which grows in steps while it is received
# Shares of the limit on memory for requests that bytes behind open requests may take.
READ_AHEAD_SHARE = 0.4
CONNECTION_READ_AHEAD_SHARE = 0.1

# Counts.

# Parser events (a head, a part of a body, an end of message) handled for one connection in one iteration of
# the event loop.
MAX_EVENTS_PER_ITERATION = 100
ACCEPT_BACKLOG = 512  # length of the listen queue
MAX_ACCEPTS_PER_ITERATION = 32  # accepted before open connections are read again
MAX_ACCEPTED_SHARE = 0.2  # the same, as a share of the limit on connections
# Connections above the connection limit whose requests get a 503. Further ones are closed without a response.
MAX_CONNECTIONS_OVER_LIMIT = 8
# Number of the oldest unused connections that an eviction searches for one that has sent nothing. Searching
# all of them for each new connection would block the event loop during a flood of connections.
MAX_SILENT_CANDIDATES = 32

# Times, in seconds.

# Time limit for receiving a complete request: the first one from the accept, a further one from its first
# byte. A request that exceeds the limit gets a 408.
REQUEST_TIMEOUT_S = 2.2
FIRST_REQUEST_GRACE_S = 0.2  # time from the accept within which the first request is expected
# A client that sends no complete request gets an error response or a close within this time from its connect.
INCOMPLETE_REQUEST_DEADLINE_S = 3.0
# At the limit on connections, one whose request has been incomplete for this long may be evicted.
SLOW_REQUEST_S = 0.2
# Allowance for event loop lag, once for accepting a connection and once for checking it.
MAX_EVENT_LOOP_DELAY_S = 0.15
KEEP_ALIVE_TIMEOUT_S = 20.0  # time after which an idle connection is closed
LINGER_TIMEOUT_S = 1.0  # bytes received after the last response are discarded for this time
WRITE_TIMEOUT_S = 5.0  # time for the client to read its response before it is disconnected
SWEEP_INTERVAL_S = 0.2  # interval between checks of the time limits of all connections
# Extension of REQUEST_TIMEOUT_S for a request of which further bytes have just been received.
PARTIAL_REQUEST_GRACE_S = (
    INCOMPLETE_REQUEST_DEADLINE_S - REQUEST_TIMEOUT_S - SWEEP_INTERVAL_S - 2 * MAX_EVENT_LOOP_DELAY_S
)
# Delay before a connection past its limit is closed, so that the event loop can read bytes already received.
FINAL_CHECK_DELAY_S = 0.03
# Interval between disconnect checks of connections whose reading is paused. No attempt may begin more than
# 0.1 s after the client has disconnected, event loop lag included.
DISCONNECT_POLL_INTERVAL_S = 0.03
# A request waits for memory for this share of its time at most: a later refusal has a cost.
MEMORY_WAIT_SHARE = 0.4
MAX_MEMORY_WAIT_S = 1.0
HEAD_MEMORY_WAIT_S = 0.4  # for a request whose time is not known yet
# While responses wait for memory, a client that has read nothing for this long is closed.
UNREAD_RESPONSE_GRACE_S = 0.5
RESPONSE_ROOM_BYTES = 128 * 1024  # free memory for responses below which that happens
STOP_ACCEPT_INTERVAL_S = 0.005  # between two parts of the listen queue, while it is drained at the end
ACCEPT_RETRY_DELAY_S = 0.05  # delay after a failed accept, for example for lack of descriptors
