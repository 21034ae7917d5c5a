"""Logging in JSON Lines format to standard output, without blocking."""

import datetime
import json
import logging
import os
import sys
from typing import Any

_STANDARD_ATTRIBUTES = frozenset(
    logging.LogRecord("", 0, "", 0, "", (), None).__dict__
) | {"message", "asctime", "taskName"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    The message of the record is the event name. What `extra` adds to the record
    becomes further fields.
    """

    def __init__(self, *, program: str) -> None:
        super().__init__()
        self._program = program

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
        fields: dict[str, Any] = {
            "time": datetime.datetime.fromtimestamp(
                record.created, tz=datetime.UTC
            ).isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "program": self._program,
            "logger": record.name,
            "event": record.getMessage(),
        }
        for name, value in record.__dict__.items():
            if name not in _STANDARD_ATTRIBUTES:
                fields[name] = value
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a file descriptor, dropping those that would block.

    The descriptor is set to non-blocking: a reader that stops reading must not
    block the event loop. The number of dropped lines is logged later.
    """

    def __init__(self, *, fd: int) -> None:
        super().__init__()
        self._fd = fd
        # Rest of a line that was written in part.
        self._unwritten = b""
        self._dropped_lines = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if not self._write(self._unwritten):
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            notice = json.dumps(
                {"event": "log_lines_dropped", "dropped": self._dropped_lines}
            )
            self._dropped_lines = 0
            line = notice.encode() + b"\n" + line
        self._write(line)

    def _write(self, data: bytes) -> bool:
        """Writes data; if the descriptor would block, keeps the rest.

        Returns whether nothing is left to write.
        """
        self._unwritten = b""
        while data:
            try:
                written_bytes = os.write(self._fd, data)
            except BlockingIOError:
                self._unwritten = data
                return False
            except OSError:
                # The reader has closed its end; the error cannot be logged.
                return True
            data = data[written_bytes:]
        return True


def configure(
    *, program: str, level: str, handler: logging.Handler | None = None
) -> None:
    """Sends the log records of this process to a handler.

    Args:
        program: name of the program, which each line contains.
        level: lowest level that is written.
        handler: destination; None writes to standard output without blocking.
    """
    if handler is None:
        handler = NonBlockingHandler(fd=sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(program=program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("mode").setLevel(logging.WARNING)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
