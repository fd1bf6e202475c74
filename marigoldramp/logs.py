"""Logging through absl, as text or as JSON lines, without secrets."""

import contextvars
import logging as standard_logging
import re
import time
from typing import Any

from absl import flags
from absl import logging
import msgspec

from . import settings as settings_module

#: Identifier of the call that the current task serves; on each log line.
request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)

HIDDEN = '[hidden]'
LONGEST_MESSAGE = 8192

_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
#: What must not reach a log: callers' keys, bound keys and private keys.
_SECRETS = re.compile(r"""(?ix)
    ( \b(?:bearer|basic) \s+
    | \bmr1\.
    | \b(?:fleet_key|private_key|private|secret|password|api[_-]?key) \b
      ['"]? \s* [=:] \s* (?!env:|file:) ['"]?
    )
    [A-Za-z0-9._~+/=-]+
    """)
_FIELDS = 'fields'


class Line(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One JSON log line.

    :ivar time: RFC 3339, in UTC.
    :ivar call: identifier of the call that was served.
    :ivar fields: values beside the message, see :func:`fields`.
    :ivar error: traceback of an exception.
    """

    time: str
    level: str
    instance: str
    message: str
    call: str = ''
    fields: dict[str, Any] = {}
    error: str = ''


def fields(**values: str | int | float | bool) -> dict[str, Any]:
    """Return values to log beside a message, for the argument ``extra``."""
    return {_FIELDS: values}


class Redactor:
    """Replaces secrets in texts: what looks like one, and known ones."""

    __slots__ = ('_known',)

    def __init__(self) -> None:
        self._known: set[str] = set()

    def learn(self, secret: bytes) -> None:
        """Replace this secret wherever it stands from now on."""
        text = secret.decode(errors='ignore').strip()
        if text:
            self._known.add(text)

    def redact(self, text: str) -> str:
        """Return the text without secrets."""
        for secret in self._known:
            text = text.replace(secret, HIDDEN)
        return _SECRETS.sub(rf'\1{HIDDEN}', text)


redactor = Redactor()


def hide_secrets(text: str) -> str:
    """Return a text in which secrets are replaced."""
    return redactor.redact(text)


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
            message=hide_secrets(record.getMessage())[:LONGEST_MESSAGE],
            call=request_id.get(),
            fields=_clean(getattr(record, _FIELDS, {})),
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
        more = ''.join(f' {key}={line.fields[key]}' for key in line.fields)
        text = (
            f'{line.time} {line.level} {line.instance}{call} {line.message}'
            f'{more}'
        )
        # A message may hold text of a caller.  A line break in it would let
        # that caller write lines of its own into the log.
        text = text.replace('\r', '\\r').replace('\n', '\\n')
        return f'{text}\n{line.error}' if line.error else text


class JsonFormatter(_Formatter):
    """Lines for a program."""

    def render(self, line: Line) -> str:
        return msgspec.json.encode(line).decode()


def configure(*, settings: settings_module.Logging, instance: str) -> None:
    """Set form and level of this process's log, on standard error."""
    handler = logging.get_absl_handler()
    match settings.format:
        case 'json':
            handler.setFormatter(JsonFormatter(instance=instance))
        case 'text':
            handler.setFormatter(TextFormatter(instance=instance))
    logging.use_absl_handler()
    # The flags of absl are not used, but as long as they count as not parsed
    # the first line is a warning about that, which is no JSON.
    flags.FLAGS(['marigoldramp', '--logtostderr'])
    logging.set_verbosity(_LEVELS[settings.level])


def _clean(values: dict[str, Any]) -> dict[str, Any]:
    return {
        key: hide_secrets(value) if isinstance(value, str) else value
        for key, value in values.items()
    }


def _format_time(seconds: float) -> str:
    whole = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))
    return f'{whole}.{int(seconds % 1 * 1000):03d}Z'
