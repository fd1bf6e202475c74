"""Tests of secrets read by reference."""

import pytest

from marigoldramp import credentials


@pytest.mark.parametrize(
    ('content', 'secret'),
    [(b'abc', b'abc'), (b'abc\n', b'abc'), (b'a\nb\r\n', b'a\nb')],
)
def test_file(tmp_path, content, secret):
    path = tmp_path / 'key'
    path.write_bytes(content)
    assert credentials.read(f'file:{path}') == secret


def test_variable(monkeypatch):
    monkeypatch.setenv('FLEET', 'abc')
    assert credentials.read('env:FLEET') == b'abc'


@pytest.mark.parametrize(
    ('reference', 'detail'),
    [
        ('hunter2', 'env:NAME or file:PATH'),
        ('env:', 'env:NAME or file:PATH'),
        ('env:MARIGOLDRAMP_UNSET', 'MARIGOLDRAMP_UNSET is not set'),
        ('file:/nowhere/at/all', 'No such file'),
        ('file:/dev/null', 'is empty'),
        ('file:/dev/zero', 'is longer than'),
    ],
)
def test_missing_secret(reference, detail):
    missing = credentials.read(reference)
    assert detail in missing.detail
    assert 'hunter2' not in missing.detail
