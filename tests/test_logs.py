"""Tests of log lines: their form, and what must not stand in them."""

import json
import logging as standard_logging
import os

from absl import logging
import pytest

from marigoldramp import logs
from marigoldramp import settings


@pytest.fixture
def log(capsys):
    """Return a function that logs one line and returns what was written."""
    before = logging.get_verbosity()

    def configure(form='text', level='info'):
        chosen = settings.Logging(format=form, level=level)
        logs.configure(settings=chosen, instance='entry-1')

        def write(message, *arguments, call=logging.info, **rest):
            capsys.readouterr()
            call(message, *arguments, **rest)
            return capsys.readouterr().err

        return write

    yield configure
    logging.set_verbosity(before)


def test_text(log):
    written = log()('took %d calls', 3, extra=logs.fields(service='s'))
    time, rest = written.split(' ', 1)
    assert rest == 'info entry-1 took 3 calls service=s\n'
    assert time.endswith('Z') and len(time) == len('2025-01-01T00:00:00.000Z')


def test_json(log):
    token = logs.request_id.set('call-7')
    try:
        written = log('json')('took %d', 3, extra=logs.fields(tokens=12))
    finally:
        logs.request_id.reset(token)
    line = json.loads(written)
    line.pop('time')
    assert line == {
        'level': 'info',
        'instance': 'entry-1',
        'message': 'took 3',
        'call': 'call-7',
        'fields': {'tokens': 12},
    }


@pytest.mark.parametrize(
    ('level', 'written'), [('info', True), ('warning', False)]
)
def test_level(log, level, written):
    assert bool(log(level=level)('text')) == written


@pytest.mark.parametrize('form', ['text', 'json'])
@pytest.mark.parametrize(
    ('message', 'secret'),
    [
        ('authorization: Bearer hunter2-abc', 'hunter2'),
        ("headers {'authorization': 'bearer hunter2'}", 'hunter2'),
        ('key mr1.aHVudGVyMg==', 'aHVud'),
        ('fleet_key=hunter2', 'hunter2'),
        ("{'private_key': 'hunter2'}", 'hunter2'),
        ('api-key: "hunter2"', 'hunter2'),
        ('the secret learnt-secret came', 'learnt-secret'),
    ],
)
def test_secrets_are_hidden(log, form, message, secret):
    logs.redactor.learn(b'learnt-secret\n')
    write = log(form)
    assert secret not in write('%s', message)
    assert logs.HIDDEN in write('%s', message)
    assert secret not in write('x', extra=logs.fields(note=message))
    try:
        raise ValueError(message)
    except ValueError:
        written = write('failed', call=logging.exception)
    assert 'Traceback' in written
    assert secret not in written


def test_references_are_shown(log):
    assert 'env:FLEET' in log()('fleet_key: env:FLEET')


def test_line_break_in_a_message_makes_no_line(log):
    """A caller cannot write log lines of its own.

    Symptom: lines about events that never were.  Sequence: a caller sends a
    path with a line break, which is logged.  Cause: it is written as it is.
    """
    written = log()('no route for %s', '/a\n2025 error entry-1 stolen')
    assert written.count('\n') == 1


def test_long_message_is_cut(log):
    assert len(log()('x' * 100_000)) < 2 * logs.LONGEST_MESSAGE


def test_long_field_is_cut(pipe):
    """Guards against lines as long as the paths that clients send."""
    handler = make_handler(pipe, lambda: 1.0)
    record = standard_logging.makeLogRecord(
        {'msg': 'm', 'levelname': 'INFO', **logs.fields(path='x' * 12_000)}
    )
    handler.handle(record)
    (line,) = pipe.lines()
    assert line['fields'] == {'path': 'x' * logs.LONGEST_FIELD}


@pytest.mark.parametrize(
    ('times', 'expected'),
    [
        ([0.0, 0.1, 0.2], [True, True, False]),
        ([0.0, 0.1, 0.9, 1.0], [True, True, False, True]),
        ([0.0, 1.0, 2.0], [True, True, True]),
    ],
)
def test_budget_gives_lines_by_the_second(times, expected):
    now = [0.0]
    budget = logs.LineBudget(lines_a_second=2, clock=lambda: now[0])
    found = []
    for time in times:
        now[0] = time
        found.append(budget.has_room())
    assert found == expected


class Pipe:
    """A pipe whose reader a test plays."""

    def __init__(self):
        self.reader, self.writer = os.pipe()

    def close(self):
        os.close(self.reader)
        os.close(self.writer)

    def read(self):
        """Return all bytes that have been written."""
        os.set_blocking(self.reader, False)
        data = b''
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data

    def lines(self):
        return [json.loads(one) for one in self.read().splitlines()]


@pytest.fixture
def pipe():
    made = Pipe()
    yield made
    made.close()


def make_handler(pipe, clock, most=5):
    handler = logs.StandardOutput(
        descriptor=pipe.writer, lines_a_second=most, clock=clock
    )
    handler.setFormatter(logs.JsonFormatter(instance='one'))
    return handler


def emit(handler, text):
    handler.handle(
        standard_logging.LogRecord(
            'x', standard_logging.INFO, 'p', 1, text, (), None
        )
    )


def test_lines_beyond_the_bound_are_counted_and_told(pipe):
    """Logging holds up requests under load.

    Sequence: an outage makes every request write several lines.
    Cause: a log without a bound.
    """
    now = [1.0]
    handler = make_handler(pipe, lambda: now[0])
    for number in range(12):
        emit(handler, f'line {number}')
    now[0] = 2.0
    emit(handler, 'next')
    found = pipe.lines()
    assert [one['message'] for one in found[:5]] == [
        f'line {number}' for number in range(5)
    ]
    assert found[5]['message'] == 'log lines dropped'
    assert found[5]['fields'] == {'lines': 7}
    assert found[6]['message'] == 'next'


def test_reader_that_stops_blocks_nobody_and_lines_stay_whole(pipe):
    """A process hangs as nobody reads its log.

    Sequence: the reader of the pipe stops; the pipe fills.
    Cause: a write that waits.
    """
    handler = make_handler(pipe, lambda: 1.0, most=100_000)
    for number in range(2_000):
        emit(handler, f'{number} ' + 'x' * 500)
    assert handler.dropped > 0
    data = pipe.read()
    emit(handler, 'again')
    data += pipe.read()
    found = [json.loads(one) for one in data.splitlines()]
    assert found[-1]['message'] == 'again'
    assert found[-2]['message'] == 'log lines dropped'
