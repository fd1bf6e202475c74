"""Tests of passing over tests that are known to fail."""

import known_red
import pytest

pytest_plugins = ['pytester']
LINE = 'test_a.py::test_red | pytest, seed 5 | one call twice | 9'


def test_line_names_a_test():
    found = known_red.read(f'{LINE}\n\n')
    assert [(red.test, red.is_script) for red in found] == [
        ('test_a.py::test_red', False)
    ]


def test_line_names_a_script():
    found = known_red.read('.ci/run | .ci/run, no seed | it failed | 9\n')
    assert [(red.test, red.is_script) for red in found] == [('.ci/run', True)]


def test_more_than_three_lines_are_read():
    assert len(known_red.read('\n'.join([LINE] * 12))) == 12


@pytest.mark.parametrize(
    ('text', 'told'),
    [
        ('test_a.py::test_red | seed 5 | twice', 'KNOWN-RED.txt:1'),
        (f'{LINE}\ntest_b.py::t | | twice | 9', 'KNOWN-RED.txt:2'),
        ('review/0/run.sh | sh | twice | 9', 'review/0/run.sh is neither'),
    ],
)
def test_incomplete_list_is_refused(text, told):
    with pytest.raises(ValueError, match=told):
        known_red.read(text)


@pytest.mark.parametrize(
    ('body', 'told'), [('assert False', 'skipped'), ('assert True', 'passed')]
)
def test_listed_test_does_not_fail_the_run(pytester, body, told):
    pytester.makepyfile(
        test_a=f'def test_red():\n    {body}\n\ndef test_other():\n    pass\n'
    )
    plugin = known_red.Plugin(known_red.read(LINE))
    result = pytester.inline_run(plugins=[plugin])
    assert result.ret == 0
    assert plugin.outcomes['test_a.py::test_red'] == told


def test_other_failures_fail_the_run(pytester):
    pytester.makepyfile(test_a='def test_new():\n    assert False\n')
    plugin = known_red.Plugin(known_red.read(LINE))
    assert pytester.inline_run(plugins=[plugin]).ret == 1
