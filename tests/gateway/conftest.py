"""Fixtures for the tests of the gateway."""

import pytest


@pytest.fixture
def lines(caplog):
    """Return a function that finds the fields of all lines of a message."""
    caplog.set_level('INFO')

    def find(message):
        return [
            record.fields
            for record in caplog.records
            if record.getMessage() == message
        ]

    return find
