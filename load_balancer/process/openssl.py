"""Keeps OpenSSL out of the process, which speaks plain TCP and would spend 5 MB of memory on it.

asyncio imports `ssl` and `hashlib` imports `_hashlib` where they exist, and both work without. `__main__`
calls this module before any other module of the network side is imported.
"""

from __future__ import annotations

import sys
from collections.abc import MutableMapping
from importlib.util import find_spec
from types import ModuleType

# The hashes that `hashlib` needs without OpenSSL. Some builds of Python leave them out.
BUILT_IN_HASHES = ("_blake2", "_md5", "_sha1", "_sha256", "_sha3", "_sha512")


def exclude_openssl(modules: MutableMapping[str, ModuleType | None] | None = None) -> None:
    """Make later imports of the modules that load OpenSSL fail with ImportError, where others replace them.

    Args:
        modules: The table of imported modules; by default that of the interpreter.
    """
    table: MutableMapping[str, ModuleType | None] = sys.modules if modules is None else modules  # type: ignore[assignment]
    table.setdefault("ssl", None)
    if all(find_spec(name) for name in BUILT_IN_HASHES):
        table.setdefault("_hashlib", None)
