"""Demonstration of a deployment on the users' platform: its calls, a lost leader and a revoked key."""

from http import HTTPStatus
from pathlib import Path

from examples.checks import expect
from tests.harness.platform import CONTROL, GATEWAY, Deployment, configuration
from tests.harness.processes import wait_for


def demonstrate(folder: Path) -> None:
    """Start three control hosts, a gateway and a stand-in engine, and show what callers get."""
    deployment = Deployment(folder)
    try:
        print('starting 3 control hosts and a gateway with settings that the platform fills in')
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
    wait_for(lambda: deployment.ask() == HTTPStatus.OK, 'a served request')
    print('a request through the gateway to the engine that announced itself: 200')
    unknown = deployment.ask('/nowhere/')
    print(f'a request that no route matches: {unknown}')
    expect(unknown == HTTPStatus.NOT_FOUND)
    deployment.processes[CONTROL[0]].kill()
    status = deployment.put(configuration(4, key='k-2'))
    print(f'a configuration with another key, after a control host was killed: {status}')
    expect(status == HTTPStatus.OK)
    wait_for(lambda: deployment.ask() == HTTPStatus.UNAUTHORIZED, 'the former key to be refused')
    served = deployment.ask(key='k-2')
    print(f'a request with the former key: 401, with the new one: {served}')
    expect(served == HTTPStatus.OK)
