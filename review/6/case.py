"""Two lost disks, while two other machines of the core are frozen, make a configuration unreadable."""

import json
import signal
import threading
import time

from fleet import BROKEN, HAS_TROUBLE, HELD, Fleet, Record, call, run_case

# From the sheet of wandoo-draisine-large: five machines of the core, two of which may be lost at once.
ZONES = ['collie-depot', 'donnybrook-depot', 'bunbury-office', 'boyup-siding', 'balingup-siding']
BOUNDS = {'retry_budget_ratio': 0.2, 'retry_min_extra': 448, 'retry_window_s': 10}
RECOVERY_S = 15.0
CONTACT_S = 5.0
SETTLE_S = 12.0
FREEZE_S = 5.0
# The configuration is changed so long after the freeze began.
CHANGE_AFTER_S = 3.5
# How long the machines that lose their disks are down.
DOWN_S = 2.0
READ_INTERVAL_S = 0.5
# Longer than an operator waits, so that a slow answer counts as one.
READ_TIMEOUT_S = 4.0


def configuration(version: int) -> dict[str, object]:
    """Return a configuration with one route."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'check-booking',
                'hostname': 'hire.example',
                'path_prefix': '/check/',
                'type': 'safe',
                'timeout_ms': 2000 + version,
                'target_latency_ms': 151,
                'priority': 0,
                'service': 'hire-desk',
                'max_attempts': 2,
            }
        ],
        'services': [{'name': 'hire-desk', 'health_path': '/healthz', 'max_connections': 1200}],
        'tenants': [{'name': 't-1', 'api_keys': ['k-1']}],
    }


def main(record: Record) -> int:
    """Run the case."""
    fleet = Fleet(record, ZONES, ZONES[:1], BOUNDS)
    try:
        return observe(fleet)
    finally:
        fleet.close()


def observe(fleet: Fleet) -> int:
    """Freeze two hosts, change the configuration, wipe two others, and read it back when all are back."""
    fleet.start_all()
    fleet.operate('PUT', '/config', configuration(3))
    fleet.wait_until_ready()
    time.sleep(SETTLE_S)

    if HAS_TROUBLE:
        disturb(fleet)
    else:
        fleet.operate('PUT', '/config', configuration(5))
    fleet.record.add(f'all machines are back; waiting {RECOVERY_S} s for the recovery')
    time.sleep(RECOVERY_S)
    versions = read_back(fleet, 4 * CONTACT_S)
    fleet.record.add(f'versions that were read back: {sorted(versions)}')
    return HELD if versions == {5} else BROKEN


def disturb(fleet: Fleet) -> None:
    """Apply the disruptions; all machines run again on return."""
    # The two that are frozen are the same in each run; any other two show the same.
    frozen = fleet.control[3:]
    running = fleet.control[:3]
    frozen_at = time.monotonic()
    for host in frozen:
        fleet.signal(host, signal.SIGSTOP)
    time.sleep(CHANGE_AFTER_S)
    acknowledged_by = fleet.operate('PUT', '/config', configuration(5), hosts=running)
    lost = [acknowledged_by, next(host for host in running if host != acknowledged_by)]
    for host in lost:
        fleet.kill(host)
        fleet.wipe(host)
    thaw = threading.Timer(
        max(0.0, frozen_at + FREEZE_S - time.monotonic()),
        lambda: [fleet.signal(host, signal.SIGCONT) for host in frozen],
    )
    thaw.start()
    time.sleep(DOWN_S)
    for host in lost:
        fleet.start(host)
    thaw.join()


def read_back(fleet: Fleet, duration_s: float) -> set[int]:
    """Read the configuration from all hosts for some time; return the versions that came."""
    versions = set()
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
        for host in fleet.control:
            status, body = call(fleet.api(host), 'GET', '/config', timeout_s=READ_TIMEOUT_S)
            version = json.loads(body)['version'] if status == 200 else None
            fleet.record.add(f'operator: GET /config from {host}: {status or "no answer"}, version {version}')
            if version is not None:
                versions.add(version)
        time.sleep(READ_INTERVAL_S)
    return versions


if __name__ == '__main__':
    run_case(main)
