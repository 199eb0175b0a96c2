"""Constants of the soak."""

from typing import Final

# Public addresses, on which the proxies of the soak listen.
CONTROL: Final = ('127.77.0.1', '127.77.0.2', '127.77.0.3')
GATEWAYS: Final = ('127.77.1.1', '127.77.1.2', '127.77.1.3')
ENGINES: Final = ('127.77.2.1', '127.77.2.2', '127.77.2.3', '127.77.2.4')
SERVICE: Final = 'desk'
ZONES: Final = ('a', 'b')
ZONE_OF: Final = {
    address: ZONES[index % len(ZONES)]
    for addresses in (CONTROL, GATEWAYS, ENGINES)
    for index, address in enumerate(addresses)
}
HOST: Final = 'desk.example'
SLOTS: Final = 6

CALLERS: Final = 12
# Retry budget in the settings, low enough that the faults make the gateways reach its limit.
BUDGET_RATIO: Final = 0.1
BUDGET_BASE: Final = 12
BUDGET_WINDOW_S: Final = 10.0
MAX_ATTEMPTS: Final = 2
# Limit of a cold engine and its cold time in the configuration; its usual load is well above the limit.
COLD_PER_S: Final = 2
COLD_S: Final = 6.0
# Requests that may arrive at a cold engine within a second.
MAX_COLD_IN_A_SECOND: Final = 1.5 * COLD_PER_S + 5
# An evacuation is in force this long after its acknowledgement.
EVACUATE_S: Final = 5.0
# A gateway that is linked to the control hosts knows of a cold engine this long after its announcement.
SPREAD_S: Final = 1.0
# Memory of the machine of a gateway at the largest deployment.
MAX_PEAK_BYTES: Final = 152_000_000

# Everything must work again within this time after the last fault.
RECOVERY_S: Final = 15.0
# A planned stop must end without SIGKILL within this time.
GRACE_S: Final = 8.0
# An engine must be notified within this time that the caller has left.
CANCEL_S: Final = 0.5
# A fault is assumed to still have effects for this time after its end.
AFTERMATH_S: Final = 4.0
WARM_UP_S: Final = 5.0
STARTUP_TIMEOUT_S: Final = 30.0
ANNOUNCE_INTERVAL_S: Final = 0.5
CHANGE_INTERVAL_S: Final = 0.7
# Operators, engines and callers try another host after this time.
CALL_TIMEOUT_S: Final = 1.0
EVENT_INTERVAL_S: Final = 0.02
READ_BYTES: Final = 65536
