"""Fixtures of the tests of the gateway."""

import pytest


@pytest.fixture
def lines(caplog):
    """Return a function that gives the fields of logged lines."""
    caplog.set_level('INFO')

    def find(message):
        return [
            record.fields
            for record in caplog.records
            if record.getMessage() == message
        ]

    return find
