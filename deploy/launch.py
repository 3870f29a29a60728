"""Run the program from a checkout with its libraries installed in ``target/deps``."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from baobabpulley.cli.main import main  # noqa: E402

main()
