"""Benchmarks of the proxy as a real process. `load_balancer` does not import this package."""
