"""Exit codes of the command line; docs/OPERATORS.md lists them too."""

DONE = 0
REFUSED = 1
BAD_INPUT = 2
PLATFORM_UNAVAILABLE = 3
OUTCOME_UNCERTAIN = 4

HELP = (
    'Exit codes: 0 done, 1 refused, 2 bad input, 3 platform unavailable, '
    '4 outcome uncertain; entry and agent also 5 if a stop cut off calls.'
)
