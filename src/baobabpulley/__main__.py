"""Entry point of ``python -m baobabpulley``."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["gateway"]:
        # Before the imports, which take a while: a request to reload must not end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabpulley.cli.main import main

    main()
