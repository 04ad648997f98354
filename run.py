"""Starts a controller from a checkout, with the libraries built under target/deps."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from elmthread.cli import main  # noqa: E402  (the paths above come first)

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
