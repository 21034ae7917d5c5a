"""Tests of header values."""

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke import exceptions
from tanagerspoke.protocol import headers


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", None),
        ("0.0", None),
        ("-1", None),
        ("+1", None),
        ("1e3", None),
        ("nan", None),
        ("inf", None),
        ("", None),
        (None, None),
        ("soon", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
        ("3600", headers.MAX_PAUSE_S),
        ("9" * 15, headers.MAX_PAUSE_S),
        ("9" * 5000, None),
        ("\u0662", None),
    ],
)
def test_retry_after(value: str | None, pause_s: float | None) -> None:
    """Guards against a pause that an upstream did not ask for, or no end."""
    assert headers.parse_retry_after(value) == pause_s


@hypothesis.given(value=st.text(max_size=30))
def test_any_retry_after_is_in_range(value: str) -> None:
    """Guards against exceptions, and pauses outside the stated range."""
    pause_s = headers.parse_retry_after(value)
    assert pause_s is None or 0 < pause_s <= headers.MAX_PAUSE_S


@pytest.mark.parametrize(
    "value",
    [
        "in_flight=-1;slots=3",
        "in_flight=1;slots=0",
        f"in_flight={10**400};slots=3",
        f"in_flight=1;slots={10**9}",
        "in_flight=1",
        "x",
    ],
)
def test_load_outside_its_range(value: str) -> None:
    """Guards against load reports that cannot be used in calculations."""
    with pytest.raises(exceptions.ProtocolError):
        headers.parse_load(value)
