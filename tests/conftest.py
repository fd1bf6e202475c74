"""Settings shared by all tests."""

import os

import hypothesis
import pytest

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.register_profile(
    'long', deadline=None, max_examples=2000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture
def anyio_backend() -> str:
    """Run coroutine tests on asyncio, as the programs do."""
    return 'asyncio'
