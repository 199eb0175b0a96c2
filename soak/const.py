"""Constants of the soak."""

from typing import Final

# Addresses that others know; the soak's proxies listen here.
CONTROL: Final = ('127.77.0.1', '127.77.0.2', '127.77.0.3')
GATEWAYS: Final = ('127.77.1.1', '127.77.1.2', '127.77.1.3')
ENGINES: Final = ('127.77.2.1', '127.77.2.2', '127.77.2.3', '127.77.2.4')
SERVICE: Final = 'desk'
HOST: Final = 'desk.example'
SLOTS: Final = 6

CALLERS: Final = 12
# Retry budget of the settings, low enough that the faults drive the gateways to its bound.
BUDGET_RATIO: Final = 0.1
BUDGET_BASE: Final = 12
BUDGET_WINDOW_S: Final = 10.0
MAX_ATTEMPTS: Final = 2

# After the last fault everything works again within this time.
RECOVERY_S: Final = 15.0
# A planned stop of a gateway ends by itself within this time.
GRACE_S: Final = 8.0
# An engine hears of a caller's leaving within this time.
CANCEL_S: Final = 0.5
# Faults that ended less than this before are taken to have an effect still.
AFTERMATH_S: Final = 4.0
CALM_S: Final = 5.0
FIRST_SERVED_S: Final = 30.0
ANNOUNCE_INTERVAL_S: Final = 0.5
CHANGE_INTERVAL_S: Final = 0.7
# Operators, engines and callers turn to another host after this time.
CALL_TIMEOUT_S: Final = 1.0
EVENT_INTERVAL_S: Final = 0.02
READ_BYTES: Final = 65536
