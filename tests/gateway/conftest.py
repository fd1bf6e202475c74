"""Fixtures for the tests of the gateway."""

import pytest


@pytest.fixture
def lines(caplog):
    """Return a function that lists the fields of log lines by message."""
    caplog.set_level('INFO')

    def find(message):
        return [
            record.fields
            for record in caplog.records
            if record.getMessage() == message
        ]

    return find
