"""Tests of log lines: their form, and what must not stand in them."""

import json

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
