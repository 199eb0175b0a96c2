"""Demonstration of a deployment on the users' platform: calls, a lost control host and a revoked key."""

from http import HTTPStatus
from pathlib import Path

from examples.checks import expect
from tests.harness.platform import CONTROL, GATEWAY, Deployment, configuration
from tests.harness.processes import wait_for


def demonstrate(folder: Path) -> None:
    """Start three control hosts, a gateway and a stand-in engine, and print the statuses that callers get."""
    deployment = Deployment(folder)
    try:
        print('starting 3 control hosts and a gateway with settings rendered as on the platform')
        for address in (*CONTROL, GATEWAY):
            deployment.start(address)
        _show(deployment)
    finally:
        deployment.stop()


def _show(deployment: Deployment) -> None:
    status = deployment.put(configuration(3))
    print(f'first configuration: {status}')
    expect(status == HTTPStatus.OK)
    deployment.announce(1)
    wait_for(lambda: deployment.send_request() == HTTPStatus.OK, 'a served request')
    print('a request through the gateway to the engine that announced itself: 200')
    unknown = deployment.send_request('/nowhere/')
    print(f'a request that no route matches: {unknown}')
    expect(unknown == HTTPStatus.NOT_FOUND)
    deployment.processes[CONTROL[0]].kill()
    status = deployment.put(configuration(4, key='k-2'))
    print(f'a configuration with another key, after a control host was killed: {status}')
    expect(status == HTTPStatus.OK)
    wait_for(lambda: deployment.send_request() == HTTPStatus.UNAUTHORIZED, 'the previous key to be refused')
    served = deployment.send_request(key='k-2')
    print(f'a request with the previous key: 401, with the new one: {served}')
    expect(served == HTTPStatus.OK)
