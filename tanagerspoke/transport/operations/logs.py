"""JSON-lines logging on standard output, which never blocks."""

import datetime
import json
import logging
import os
import sys
from typing import Any

_STANDARD_FIELDS = frozenset(
    logging.LogRecord("", 0, "", 0, "", (), None).__dict__
) | {"message", "asctime", "taskName"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    The message of the record is the event name; fields come from `extra`.
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
            if name not in _STANDARD_FIELDS:
                fields[name] = value
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor; drops and counts what it does not take.

    The descriptor is set to non-blocking, since a reader that stops reading
    must not stop the event loop.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        # Rest of a line of which the descriptor took a part.
        self._rest = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if not self._write(self._rest):
            self._dropped += 1
            return
        if self._dropped:
            notice = json.dumps(
                {"event": "log_lines_dropped", "dropped": self._dropped}
            )
            self._dropped = 0
            line = notice.encode() + b"\n" + line
        self._write(line)

    def _write(self, data: bytes) -> bool:
        """Returns whether all was written; keeps the rest for later."""
        self._rest = b""
        while data:
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._rest = data
                return False
            except OSError:
                # Nobody reads any more; there is nowhere to report it.
                return True
            data = data[written:]
        return True


def configure(
    *, program: str, level: str, handler: logging.Handler | None = None
) -> None:
    """Sends all log records of this process to a handler.

    Args:
        program: name of the program in every line.
        level: least level that is written.
        handler: standard output without blocking by default.
    """
    if handler is None:
        handler = NonBlockingHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(program=program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("mode").setLevel(logging.WARNING)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
