"""Digests of API keys, which take the place of the keys themselves.

A process keeps, compares and sends digests only, so that no key can get into a
log line, a metric or a message between nodes.
"""

from collections.abc import Sequence
import dataclasses
import enum
import hashlib
from typing import TypeAlias

# Long enough that two keys never share a digest.
_DIGEST_BYTES = 16
# Longer keys are malformed. Keys of the platform have 20 characters.
MAX_KEY_CHARS = 512


class KeyDefect(enum.StrEnum):
    """Why the key header of a request holds no usable key."""

    MISSING = "missing"
    REPEATED = "repeated"
    OVERSIZED = "oversized"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WellFormedKey:
    """Digest of the only key of a request; it may be unknown."""

    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DefectiveKey:
    """A request without a usable key."""

    defect: KeyDefect


PresentedKey: TypeAlias = WellFormedKey | DefectiveKey


def digest(key: str) -> str:
    """Returns the hexadecimal digest of a key."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def read_key(values: Sequence[str]) -> PresentedKey:
    """Returns what a request presents as its key, without the key's text.

    Args:
        values: all values of the key header, in any order.
    """
    if not values:
        return DefectiveKey(defect=KeyDefect.MISSING)
    if len(values) > 1:
        return DefectiveKey(defect=KeyDefect.REPEATED)
    (key,) = values
    if len(key) > MAX_KEY_CHARS:
        return DefectiveKey(defect=KeyDefect.OVERSIZED)
    if not key or not all("!" <= char <= "~" for char in key):
        return DefectiveKey(defect=KeyDefect.MALFORMED)
    return WellFormedKey(digest=digest(key))
