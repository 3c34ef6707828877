"""Makes the C library return freed memory to the system, where it is the GNU one.

Otherwise bodies of requests leave holes between long-lived objects, and the next burst comes on top of them.
See mallopt(3) and malloc_trim(3).
"""

from __future__ import annotations

import ctypes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Larger blocks are mapped one by one and unmapped when they are freed; the default grows with the blocks that
# are freed. Bodies, of 64 KiB at most, stay below: a mapping costs as much as a small request.
MMAP_THRESHOLD_BYTES = 128 * 1024
TRIM_THRESHOLD_BYTES = 128 * 1024


def configure_allocator() -> bool:
    """Set the thresholds; return False if the C library has none."""
    libc = ctypes.CDLL(None)
    if not hasattr(libc, "mallopt"):
        return False
    has_set_mmap = bool(libc.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
    has_set_trim = bool(libc.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES))
    return has_set_mmap and has_set_trim


def return_free_memory() -> bool:
    """Return free memory to the system; return False if the C library cannot."""
    libc = ctypes.CDLL(None)
    if not hasattr(libc, "malloc_trim"):
        return False
    libc.malloc_trim(0)
    return True
