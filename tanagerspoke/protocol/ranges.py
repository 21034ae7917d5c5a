"""Ranges of the numbers and texts that other processes send.

Used as field types of messages, so that a decoder rejects a message with a
value outside its range, and no other code has to expect one.
"""

from typing import Annotated

import msgspec

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
# Names become header values, log fields and keys, so they are printable ASCII.
Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}$")]
HostName = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,253}$")]
Path = Annotated[str, msgspec.Meta(pattern=r"^/[!-~]*$", max_length=2048)]
PathPrefix = Annotated[
    str, msgspec.Meta(pattern=r"^/([!-~]*/)?$", max_length=2048)
]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
OptionalSeconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
# Longer cold periods are faulty reports: upstreams are cold for some seconds.
ColdSeconds = Annotated[float, msgspec.Meta(ge=0, le=600)]
CallRate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
# Hexadecimal digest of an API key; see `protocol/key_digests.py`.
KeyDigest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Attempts = Annotated[int, msgspec.Meta(ge=1, le=1000)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
HeaderBytes = Annotated[int, msgspec.Meta(ge=1, le=2**30)]
BodyBytes = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=65_536)]
# Until the year 2100. A larger start time would make a report newer than every
# later one of the same upstream.
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=4_102_444_800_000)]
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Position in the store's change history; -1 before the first read.
Position = Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)]
LinkMbps = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
