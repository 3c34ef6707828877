"""Upstream side of the proxy: the connection pool, connections to endpoints, and HTTP attempts on them."""
