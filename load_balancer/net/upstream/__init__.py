"""Connections to endpoints: the pool, one exchange on a connection, one outcome for each attempt."""
