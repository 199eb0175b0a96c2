"""Constants of the files under the data folder."""

from typing import Final

FRAME_MAGIC: Final = b'bCv1'
SEGMENT_SUFFIX: Final = '.journal'
SNAPSHOT_SUFFIX: Final = '.snapshot'
TEMPORARY_SUFFIX: Final = '.tmp'
LOCK_NAME: Final = 'lock'
FILE_MODE: Final = 0o600
NUMBER_WIDTH: Final = 16

# Interval between retries of a write while the disk is full.
DISK_FULL_RETRY_INTERVAL_S: Final = 0.5

# No longer frame is ever written, so a larger length field indicates damage.
MAX_FRAME_BYTES: Final = 256 * 1024 * 1024
# Bounds the latency that a large group adds to its first writes.
MAX_GROUP_ENTRIES: Final = 4096
