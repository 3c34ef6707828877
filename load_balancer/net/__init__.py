"""The network side of the proxy: carries out the decisions of the policy on real sockets."""
