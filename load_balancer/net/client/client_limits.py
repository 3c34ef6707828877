"""The limits on clients' connections: sizes, counts and times, each with its unit and effect.

The modules of this package read each limit here when they need it. None is configurable.
"""

from __future__ import annotations

# Sizes.

MAX_HEAD_BYTES = 16 * 1024  # of a request line and headers; a longer head is answered with 431
# The most bytes that one read takes. Each connection may exceed the limits on buffered bytes by as much.
READ_SIZE_BYTES = 16 * 1024
# The most bytes that are buffered behind a request that has no response yet, for one connection and for all;
# beyond this no more is read. This is far more than the one request of full size that a client may send
# ahead: the event loop does not see a client leave behind bytes that it has not read.
MAX_BUFFERED_BYTES_PER_CONNECTION = 1024 * 1024
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

# Counts.

# Parts of requests (a head, a chunk, an end) that are parsed for one connection in one turn of the event
# loop.
MAX_EVENTS_PER_TURN = 100
ACCEPT_BACKLOG = 512  # connections that the system keeps until they are accepted
MAX_ACCEPTS_PER_TURN = 16  # connections accepted before the open ones are read again
# Connections over the limit whose request is answered with 503; any more are closed without a response.
MAX_CONNECTIONS_OVER_LIMIT = 8
# To make room, so many of the longest unused connections are searched for one that has sent nothing. A search
# of all of them for each new connection would hold up the event loop in a flood of connections.
MAX_SILENT_CANDIDATES = 32

# Times, in seconds.

# A request is complete this long after the connect, or after its own first byte; otherwise it gets 408.
REQUEST_TIMEOUT_S = 2.2
FIRST_REQUEST_GRACE_S = 0.2  # a client has sent its first request this long after its connect
# A client that sends no complete request gets an error or a close this long after its connect.
INCOMPLETE_REQUEST_DEADLINE_S = 3.0
# The event loop may be late by this, as it accepts a connection and again as it checks it.
MAX_EVENT_LOOP_DELAY_S = 0.15
KEEP_ALIVE_TIMEOUT_S = 20.0  # an idle connection is closed after this time
LINGER_TIMEOUT_S = 1.0  # bytes that come after the last response are read and dropped for this long
WRITE_TIMEOUT_S = 5.0  # a client that does not read its response for this long is disconnected
SWEEP_INTERVAL_S = 0.2  # between two checks of all connections against these times
# A request of which more has just come may take this much longer than REQUEST_TIMEOUT_S.
PARTIAL_REQUEST_GRACE_S = (
    INCOMPLETE_REQUEST_DEADLINE_S - REQUEST_TIMEOUT_S - SWEEP_INTERVAL_S - 2 * MAX_EVENT_LOOP_DELAY_S
)
# Within this time the event loop has read what had come to a connection that is about to be closed.
FINAL_CHECK_DELAY_S = 0.03
# Between two polls whether the client of a connection that is not read is still there. No attempt may begin
# more than 0.1 s after a client has left, and the event loop may be late.
DISCONNECT_POLL_INTERVAL_S = 0.03
ACCEPT_RETRY_DELAY_S = 0.05  # before another accept, where none succeeds, as for lack of a descriptor
