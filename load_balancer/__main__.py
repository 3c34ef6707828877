"""Entry point of the proxy: `python -B -m load_balancer`. The exit codes are those of `process/command`."""

from __future__ import annotations

import sys

from load_balancer.process.openssl import exclude_openssl


def main() -> int:
    """Run the proxy without OpenSSL, and return the exit code."""
    exclude_openssl()
    from load_balancer.process import command  # imports asyncio, which would load OpenSSL

    return command.main()


if __name__ == "__main__":
    sys.exit(main())
