"""Stand-ins, clocks, clients and harnesses shared by the tests; contains no tests.

Where to find what a test needs:

- run the proxy's network side in the test's own event loop: `loopback_proxy.running_proxy`, or the fixture
  `proxy` for one before the fixture `endpoint`;
- run the whole proxy: `proxy_process` as a separate process, `in_process_server` on a stepped clock,
  `reload_harness` to reload its configuration file;
- stand in for an endpoint: `stand_in_server.StandInEndpoint` sends prepared responses, `SilentEndpoint` sends
  none, `raw_endpoint.RawEndpoint` sends, ends or resets under the control of the test;
- stand in for discovery: `stand_in_discovery`, with lists from `endpoint_lists`;
- send requests to the proxy: `LoopbackProxy.send_request`, or `socket_client.SocketClient` to control when
  bytes are sent; both with messages from `http_messages`;
- start attempts on a connection pool without the proxy: `attempts`, with connects delayed by `connect_gates`;
- advance time: `stepped_clock` for the event loop, `manual_clocks` for the monotonic and the wall clock;
- make system calls fail: `failing_sockets`, through the fixture `socket_failures`;
- drive the policy without the network: `balancer_harness` for one balancer, `simulated_fleet` for many
  balancers with simulated endpoints;
- check the log: `log_lines`, and the fixtures `no_problems_until_loop_closes` and
  `no_tracebacks_until_loop_closes`.

Fixtures are in `tests/conftest.py`. `time_limit` limits the real time of each asynchronous test.
"""
