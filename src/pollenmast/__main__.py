"""`python -m pollenmast`: the command line."""

import sys

from pollenmast.cli import main

if __name__ == "__main__":
    sys.exit(main())
