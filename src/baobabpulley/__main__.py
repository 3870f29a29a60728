"""Entry point of ``python -m baobabpulley``."""

from __future__ import annotations

from baobabpulley.cli.main import main

if __name__ == "__main__":
    main()
