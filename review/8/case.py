"""A control host that wakes from a freeze undoes an evacuation that was acknowledged meanwhile."""

import itertools
import signal
import time

from fleet import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    NOT_RUN,
    Engine,
    Fleet,
    Record,
    call,
    run_case,
    wait_for,
)

# Bounds of the sheet of comhar-seoltai-grown.
CONTACT_S = 4.0
EVACUATE_S = 5.0
BOUNDS = {'retry_budget_ratio': 0.2, 'retry_min_extra': 236, 'retry_window_s': 10}
FREEZE_S = 5.0
OBSERVE_S = 6.0
CALM, EVACUATED = 'ie-east-a', 'ie-east-b'
KEY = 'k-1'
NUMBERS = itertools.count(1)

CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'record-read',
            'hostname': 'register.example',
            'path_prefix': '/read/',
            'type': 'safe',
            'timeout_ms': 1500,
            'target_latency_ms': 205,
            'priority': 0,
            'service': 'clar-app',
            'max_attempts': 2,
        }
    ],
    'services': [{'name': 'clar-app', 'health_path': '/healthz', 'max_connections': 560}],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 't-1', 'api_keys': [KEY]}],
}


def send_requests(fleet: Fleet, duration_s: float) -> None:
    """Send a client's request to each gateway in turn, about 20 a second."""
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
        for gateway in fleet.gateways:
            request_id = f'q{next(NUMBERS)}'
            headers = {
                'Host': 'register.example',
                'Authorization': f'Token {KEY}',
                'X-Basilcove-Attempt-Id': request_id,
                'X-Basilcove-Deadline-Ms': '1500',
            }
            fleet.record.add(f'client sends {request_id} to {gateway}')
            status, body = call(fleet.frontend(gateway), 'GET', '/read/x', headers=headers, timeout_s=2)
            fleet.record.add(f'client gets {status} {body.decode(errors="replace").strip()} for {request_id}')
        time.sleep(0.1)


def main(record: Record) -> int:
    """Run the case."""
    zones = [CALM, EVACUATED, 'ie-east-c']
    fleet = Fleet(record, zones, [CALM, EVACUATED], BOUNDS)
    engines = [Engine(fleet, f'i-{zone}', 'clar-app', zone) for zone in (CALM, EVACUATED)]
    try:
        return observe(fleet, engines)
    finally:
        for engine in engines:
            engine.close()
        fleet.close()


def observe(fleet: Fleet, engines: list[Engine]) -> int:
    """Evacuate, restore and evacuate again, with one control host frozen; then watch the engines."""
    fleet.start_all()
    fleet.operate('PUT', '/config', CONFIGURATION)
    for engine in engines:
        engine.start()
    fleet.wait_until_ready()
    wait_for(lambda: not send_requests(fleet, 1) and all(engine.runs for engine in engines), 'both engines')
    path = f'/evacuations/{EVACUATED}'
    fleet.operate('POST', path)
    time.sleep(EVACUATE_S)

    frozen, *others = reversed(fleet.control)
    if HAS_TROUBLE:
        fleet.signal(frozen, signal.SIGSTOP)
        frozen_at = time.monotonic()
        time.sleep(0.5)
    # The operator picks the frozen host first, and asks another one after a second without an answer.
    fleet.operate('DELETE', path, hosts=[frozen, *others])
    time.sleep(0.5)
    fleet.operate('POST', path, hosts=others)
    acknowledged_at = time.monotonic()
    if HAS_TROUBLE:
        time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
        fleet.signal(frozen, signal.SIGCONT)
    woken_at = time.monotonic()

    judged_from = max(acknowledged_at + EVACUATE_S, woken_at + CONTACT_S) + 0.5
    time.sleep(max(0.0, judged_from - time.monotonic()))
    judged_from = time.monotonic()
    fleet.record.add(f'judged from here: no request may reach an engine in {EVACUATED}')
    send_requests(fleet, OBSERVE_S)
    runs = {engine.zone: sum(at >= judged_from for at, _ in engine.runs) for engine in engines}
    fleet.record.add(f'requests that ran meanwhile: {runs}')
    if not sum(runs.values()):
        return NOT_RUN
    return BROKEN if runs[EVACUATED] else HELD


if __name__ == '__main__':
    run_case(main)
