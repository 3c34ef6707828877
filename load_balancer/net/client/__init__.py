"""Client side of the proxy: accepts connections, parses requests and writes one final response to each."""
