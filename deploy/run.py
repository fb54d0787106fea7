"""Starts a program for the users' platform from a source checkout."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from damaskridge.binaries.platform import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], os.environ))
