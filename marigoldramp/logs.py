"""Logging through absl, as text or as JSON lines, without secrets."""

import contextvars
import logging as standard_logging
import re
import sys
import time

from absl import logging
import msgspec

from . import settings

#: Identifier of the call that the current task serves; on each log line.
request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)

_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
#: What must not reach a log: callers' keys, bound keys and sealed heads.
_SECRETS = re.compile(
    r'(?i)(bearer\s+|mr1\.|fleet_key[=:]\s*)[A-Za-z0-9._~+/=-]+'
)
_HIDDEN = r'\1[hidden]'


class Line(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One JSON log line.

    :ivar time: RFC 3339, in UTC.
    """

    time: str
    level: str
    instance: str
    message: str
    call: str = ''
    error: str = ''


def hide_secrets(text: str) -> str:
    """Return a text in which keys are replaced."""
    return _SECRETS.sub(_HIDDEN, text)


class _Formatter(standard_logging.Formatter):
    """What both forms have in common."""

    def __init__(self, *, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: standard_logging.LogRecord) -> str:
        error = ''
        if record.exc_info:
            error = hide_secrets(self.formatException(record.exc_info))
        line = Line(
            time=_format_time(record.created),
            level=record.levelname.lower(),
            instance=self._instance,
            message=hide_secrets(record.getMessage()),
            call=request_id.get(),
            error=error,
        )
        return self.render(line)

    def render(self, line: Line) -> str:
        """Return a line as it is written."""
        raise NotImplementedError


class TextFormatter(_Formatter):
    """Lines for a person."""

    def render(self, line: Line) -> str:
        call = f' [{line.call}]' if line.call else ''
        text = f'{line.time} {line.level} {line.instance}{call} {line.message}'
        return f'{text}\n{line.error}' if line.error else text


class JsonFormatter(_Formatter):
    """Lines for a program."""

    def render(self, line: Line) -> str:
        return msgspec.json.encode(line).decode()


def configure(*, settings: settings.Logging, instance: str) -> None:
    """Set form and level of this process's log, on standard error."""
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    match settings.format:
        case 'json':
            handler.setFormatter(JsonFormatter(instance=instance))
        case 'text':
            handler.setFormatter(TextFormatter(instance=instance))
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[settings.level])


def _format_time(seconds: float) -> str:
    whole = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))
    return f'{whole}.{int(seconds % 1 * 1000):03d}Z'
