"""A load-balancing HTTP/1.1 proxy. `Balancer`, its policy, can be used without any socket."""

from load_balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
