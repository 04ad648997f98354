"""Starts a controller from a checkout, with the libraries that `deploy/build` puts under target/app.

`deploy/build` also puts a copy of this file there, beside the service's own modules and their bytecode.
"""

import gc
import sys

# Nothing that is loaded at the start is garbage; `serve` turns collections on when all is there.
gc.disable()
ROOT = __file__.rpartition("/")[0] or "."
sys.path[:0] = [f"{ROOT}/src", f"{ROOT}/target/app"]

from elmthread.cli import main  # noqa: E402  (the paths above come first)

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
