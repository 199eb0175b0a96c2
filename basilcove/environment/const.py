"""Constants of the environment document."""

from typing import Final

MAX_DOCUMENT_BYTES: Final = 2 * 1024 * 1024

# Deeper nesting than any valid document has; bounds the recursion of the YAML composer.
MAX_DEPTH: Final = 16

# An operator corrects a handful of faults at a time; a broken generator could yield one per team.
MAX_FAULTS: Final = 200

DIGEST_PREFIX: Final = 'sha256:'

# Floors are decimal fractions, whose binary sum may exceed 1 by rounding.
FLOOR_TOLERANCE: Final = 1e-9
