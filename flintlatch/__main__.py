"""Starts the platform's proxy, or with arguments the command line, see cli.py."""

from __future__ import annotations

import sys


def main() -> int:
    if len(sys.argv) > 1:
        from flintlatch.cli import main as command_line

        return command_line(sys.argv[1:])
    from flintlatch.net.without_tls import without_tls

    with without_tls():
        from flintlatch.program import main as program
    return program()


if __name__ == "__main__":
    sys.exit(main())
