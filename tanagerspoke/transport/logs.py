"""JSON-lines logging on standard error."""

import datetime
import json
import logging
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


def configure(*, program: str, level: str) -> None:
    """Sends all log records of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(program=program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("mode").setLevel(logging.WARNING)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
