"""Entry point of `python -m pollenmount`."""

import sys

from pollenmount.cmdline import main

sys.exit(main(sys.argv))
