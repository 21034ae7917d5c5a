"""Logs to a reader that stops reading."""

import json
import logging
import os

from tanagerspoke.transport.operations import logs


def _drain(descriptor: int) -> bytes:
    parts = []
    os.set_blocking(descriptor, False)
    while True:
        try:
            part = os.read(descriptor, 65_536)
        except BlockingIOError:
            return b"".join(parts)
        parts.append(part)


def test_full_pipe_drops_lines_and_counts_them() -> None:
    """Guards against an event loop that blocks on its logs."""
    reading, writing = os.pipe()
    handler = logs.NonBlockingHandler(descriptor=writing)
    handler.setFormatter(logs.JsonFormatter(program="p"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    for number in range(5000):
        logger.info("event", extra={"number": number})
    got = _drain(reading)
    for number in range(3):
        logger.info("after", extra={"number": number})
    got += _drain(reading)
    os.close(reading)
    os.close(writing)
    lines = [json.loads(line) for line in got.splitlines()]
    events = [line["event"] for line in lines]
    dropped = next(
        line["dropped"]
        for line in lines
        if line["event"] == "log_lines_dropped"
    )
    assert events.count("event") + dropped == 5000
    assert events.count("after") == 3


def test_closed_reader_is_no_error() -> None:
    """Guards against a program that ends with its log reader."""
    reading, writing = os.pipe()
    handler = logs.NonBlockingHandler(descriptor=writing)
    handler.setFormatter(logs.JsonFormatter(program="p"))
    os.close(reading)
    handler.emit(logging.makeLogRecord({"msg": "event"}))
    os.close(writing)
