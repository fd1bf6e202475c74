"""A short seeded run of the soak, and its seeds that have ever failed."""

import subprocess
import sys

import pytest

#: Seeds that broke a promise once, each with its cause.
REGRESSIONS = {
    21: 'a stop closed connections that had just been opened, unread',
}


@pytest.mark.parametrize(
    ('seed', 'more'),
    [
        *((seed, []) for seed in (2, *REGRESSIONS)),
        (301, ['--ends']),
        (1003, ['--stops']),
        (1101, ['--crowds']),
        (402, ['--backoffs']),
        (611, ['--maps']),
        (801, ['--limits']),
        (901, ['--colds']),
        (1, ['--evacuations']),
    ],
)
def test_seed_keeps_the_promises(seed, more):
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'marigoldramp_soak',
            '--first',
            str(seed),
            '--seeds',
            '1',
            '--seconds',
            '6',
            *more,
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
