"""Constants of the files under the data folder."""

from typing import Final

FRAME_MAGIC: Final = b'bCv1'
SEGMENT_SUFFIX: Final = '.journal'
SNAPSHOT_SUFFIX: Final = '.snapshot'
TEMPORARY_SUFFIX: Final = '.tmp'
LOCK_NAME: Final = 'lock'
FILE_MODE: Final = 0o600
NUMBER_WIDTH: Final = 16

# How often a write is tried again while the disk is full.
FULL_RETRY_INTERVAL_S: Final = 0.5

# A frame longer than this is never written, so a larger length field is damage.
MAX_FRAME_BYTES: Final = 256 * 1024 * 1024
# Bounds the latency that one large group adds to the writes at its front.
MAX_GROUP_ENTRIES: Final = 4096
