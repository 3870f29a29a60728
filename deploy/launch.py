"""Run the program from a checkout with its libraries installed in ``target/deps``."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# A signal to reload that comes before the program handles it must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from baobabpulley.cli.main import main  # noqa: E402

main()
