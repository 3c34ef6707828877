"""Stand-ins, clocks, clients and harnesses that the tests share; no tests.

What a test wants to do, and where it finds that:

- run the proxy's network side in the test's own event loop: `loopback_proxy.running_proxy`, or the fixture
  `proxy` for one before the fixture `endpoint`;
- run the whole proxy: `proxy_process` as a process of its own, `in_process_server` on a stepped clock,
  `reload_harness` for its configuration file;
- stand in for an endpoint: `stand_in_server.StandInEndpoint` answers by itself, `SilentEndpoint` not at all,
  `raw_endpoint.RawEndpoint` does each step when the test says so;
- stand in for discovery: `stand_in_discovery`, with lists from `endpoint_lists`;
- call the proxy: `LoopbackProxy.send_request`, or `socket_client.SocketClient` for bytes at chosen moments;
  both with messages from `http_messages`;
- send attempts on a connection pool without the proxy: `attempts`, held back by `connect_gates`;
- let time pass: `stepped_clock` for the event loop, `manual_clocks` for the machine's two clocks;
- make system calls fail: `failing_sockets`, through the fixture `socket_failures`;
- drive the policy alone: `balancer_harness` for one balancer, `simulated_fleet` for many before simulated
  endpoints;
- look at the log: `log_lines`, and the fixtures `no_problems_until_loop_closes` and
  `no_tracebacks_until_loop_closes`.

Fixtures are in `tests/conftest.py`. Each asynchronous test is bounded in real time by `time_limit`.
"""
