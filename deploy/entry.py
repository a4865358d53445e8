"""Start the gateway on the platform from a checkout, without installing it."""

import signal
import sys
from pathlib import Path

# The platform may send SIGHUP during the imports, before the gateway handles it. By
# default it would end the process; the settings are read afterwards in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chervilwing.platform.__main__ import run  # noqa: E402

sys.exit(run())
