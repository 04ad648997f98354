"""Starts a controller from a checkout, with the libraries that `deploy/build` installs under target/app.

`deploy/build` also copies this file there, next to the service's own modules and their bytecode.
"""

import gc
import sys

# Objects created while modules are loaded are not garbage; `serve` enables collection once all are loaded.
gc.disable()
ROOT = __file__.rpartition("/")[0] or "."
sys.path[:0] = [f"{ROOT}/src", f"{ROOT}/target/app"]

from elmthread.cli import main  # noqa: E402  (the paths above must be set first)

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
