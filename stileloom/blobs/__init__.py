"""Byte strings that the replicated state refers to instead of holding them in memory.

All replicas append the same byte strings in the same order, so a reference is valid on each.
"""

from stileloom.blobs.log import (
    BlobLog,
    BlobReference,
    BlobUnavailable,
    MemoryBlobLog,
    read_blob,
    reference_to,
)

__all__ = [
    "BlobLog",
    "BlobReference",
    "BlobUnavailable",
    "MemoryBlobLog",
    "read_blob",
    "reference_to",
]
