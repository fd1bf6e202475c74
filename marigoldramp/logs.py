"""Logging through absl, as text or as JSON lines, without secrets."""

import contextvars
import logging as standard_logging
import os
import re
import time
from typing import Any
from typing import Callable
from typing import TYPE_CHECKING

from absl import flags
from absl import logging
import msgspec

if TYPE_CHECKING:
    # Agents' settings load YAML and pydantic, which gateways do not need.
    from . import settings as settings_module


#: Identifier of the call that the current task serves; on each log line.
request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)

HIDDEN = '[hidden]'
LONGEST_MESSAGE = 8192
#: Characters of a field; clients choose what some fields hold.
LONGEST_FIELD = 1024
#: Lines that one process writes to standard output in a second at most;
#: a line costs about 50 microseconds.
MOST_LINES_A_SECOND = 300

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


class LineBudget:
    """Bounds how many lines are written.

    :param lines_a_second: most lines that are written in a second.
    """

    __slots__ = ('_most', '_clock', '_second', '_lines')

    def __init__(
        self,
        *,
        lines_a_second: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._most = lines_a_second
        self._clock = clock
        self._second = 0
        self._lines = 0

    def has_room(self) -> bool:
        """Take one line from the budget; return whether there was one."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= self._most


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


def configure(*, settings: 'settings_module.Logging', instance: str) -> None:
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


class StandardOutput(standard_logging.Handler):
    """Writes lines to standard output, never waits and never overflows.

    A reader that falls behind would otherwise hold up every request, seen
    as all of them late at once.  Lines beyond the bound, or that the pipe
    does not take, are dropped and counted; the count is the next line.

    :param lines_a_second: most lines that are written in a second.
    """

    def __init__(
        self,
        *,
        descriptor: int = 1,
        lines_a_second: int = MOST_LINES_A_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._budget = LineBudget(lines_a_second=lines_a_second, clock=clock)
        self._rest = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._budget.has_room():
            self.dropped += 1
            return
        if self.dropped and self._write(self._describe_dropped(record)):
            self.dropped = 0
        if not self._write(self.format(record)):
            self.dropped += 1

    def _describe_dropped(self, record: standard_logging.LogRecord) -> str:
        told = standard_logging.makeLogRecord(
            {
                'msg': 'log lines dropped',
                'levelname': 'WARNING',
                'created': record.created,
                _FIELDS: {'lines': self.dropped},
            }
        )
        return self.format(told)

    def _write(self, line: str) -> bool:
        """Write a line whole or not at all, but for what the pipe holds."""
        data = line.encode() + b'\n'
        try:
            if self._rest:
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
            if self._rest:
                return False
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            return False
        self._rest = data[written:]
        return True


def configure_stdout(*, instance: str) -> None:
    """Write this process's log to standard output as JSON lines."""
    handler = StandardOutput()
    handler.setFormatter(JsonFormatter(instance=instance))
    root = standard_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    flags.FLAGS(['marigoldramp'])
    logging.set_verbosity(logging.INFO)


def _clean(values: dict[str, Any]) -> dict[str, Any]:
    return {
        key: (
            hide_secrets(value)[:LONGEST_FIELD]
            if isinstance(value, str)
            else value
        )
        for key, value in values.items()
    }


def _format_time(seconds: float) -> str:
    whole = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))
    return f'{whole}.{int(seconds % 1 * 1000):03d}Z'
