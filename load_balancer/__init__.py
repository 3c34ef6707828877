"""A load-balancing HTTP/1.1 proxy. `Balancer`, its policy, does no I/O and can be used on its own."""

from load_balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
