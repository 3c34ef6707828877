"""Network side of the proxy: carries out the policy's decisions on real sockets."""
