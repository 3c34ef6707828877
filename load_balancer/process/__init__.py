"""The proxy process: startup, configuration, reload, graceful shutdown, signals and descriptor limits."""
