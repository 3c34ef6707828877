"""The decisions of a balancer, without clocks, sockets, threads or global state."""
