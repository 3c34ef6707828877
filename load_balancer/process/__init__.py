"""The process: its entry, configuration, reload, graceful shutdown and descriptor limits."""
