"""Digests of API keys, which take the place of the keys themselves.

A process keeps, compares and sends digests only, so that no key can get into a
log line, a metric or a message between nodes.
"""

import hashlib

# Long enough that two keys never share a digest.
_DIGEST_BYTES = 16
# Longer keys are malformed. Keys of the platform have 20 characters.
MAX_KEY_CHARS = 512


def digest(key: str) -> str:
    """Returns the hexadecimal digest of a key."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()
