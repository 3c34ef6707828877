"""Stand-ins, clocks, clients and fixtures that the tests share; no tests."""
