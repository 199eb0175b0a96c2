import sys
from pathlib import Path

# The adapter is a package of its own, which the platform's start script puts on the path.
sys.path.insert(0, str(Path(__file__).resolve().parents[2] / 'platform'))
