#!/bin/sh
# Builds what the scripts of cases 6 to 10 start: compiles the gateway, the
# stand-ins and the cases, and imports them with the libraries that the build
# of the deploy file has left in target/deps.  Needs no network.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.
export PYTHONPATH
python3 -m compileall -q marigoldramp marigoldramp_soak review
python3 - <<'END'
import marigoldramp.platform.__main__  # noqa: F401
import marigoldramp_soak.objects  # noqa: F401
from review import cold_2  # noqa: F401
from review import parts_2  # noqa: F401
from review import site_2  # noqa: F401
END
