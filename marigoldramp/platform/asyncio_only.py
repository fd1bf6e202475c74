"""Keeps httpcore from loading trio; must be imported before httpcore.

httpcore loads trio wherever it is installed.  The gateway runs on asyncio
only, and loading trio takes a fifth of its startup time.
"""

import sys

#: ``None`` makes ``import trio`` fail, which httpcore handles.
sys.modules.setdefault('trio', None)  # type: ignore[arg-type]
