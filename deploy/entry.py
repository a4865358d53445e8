"""Start the gateway on the platform from a checkout, without installing it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chervilwing.platform.__main__ import run

sys.exit(run())
