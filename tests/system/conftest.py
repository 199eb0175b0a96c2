from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
import yaml

from tests.harness import documents
from tests.harness.cluster import ZONES, Cluster, UpstreamSpec
from tests.harness.forwarder import Forwarder
from tests.harness.processes import free_address

ENGINE = 'tests.standins.engine'
SERVICE = 'tests.standins.service'
MAX_BODY_BYTES = 64 * 1024

UPSTREAMS = (
    UpstreamSpec('engine-1', ENGINE, ZONES[0], models='rider-assistant'),
    UpstreamSpec('engine-2', ENGINE, ZONES[1], models='rider-assistant'),
    UpstreamSpec('hire-1', SERVICE, ZONES[0], services='hire'),
    UpstreamSpec('hire-2', SERVICE, ZONES[1], services='hire'),
)


@dataclass
class Shared:
    """A deployment shared by the tests of a module, each of which restores its state.

    ``entry-2`` disconnects callers that are silent for 1 s. The link from ``agent-engine-1`` to
    ``entry-1`` passes through the forwarder.
    """

    cluster: Cluster
    forwarder: Forwarder


@pytest.fixture(scope='module')
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Shared]:
    """Return a running deployment for a whole module."""
    folder = tmp_path_factory.mktemp('shared')
    cluster = Cluster(folder, upstreams=UPSTREAMS)
    between, entry = free_address(), cluster.addresses['entry-1'].rpc
    change_settings(folder / 'entry-1.yaml', 'http', max_body_bytes=MAX_BODY_BYTES)
    change_settings(folder / 'entry-2.yaml', 'http', socket_timeout_s=1)
    seeds = [between if seed == entry else seed for seed in cluster.seeds_of('agent-engine-1')]
    change_settings(folder / 'agent-engine-1.yaml', 'rpc', seeds=seeds)
    with Forwarder(between, entry) as forwarder, cluster:
        # The tests share one retry budget, so it allows all of them; the budget has tests of its own.
        content = documents.document(UPSTREAMS, limits={'retry_budget': 1})
        cluster.start_all(documents.write(folder, content))
        yield Shared(cluster, forwarder)


def change_settings(settings: Path, section: str, **changes: object) -> None:
    """Change keys in a section of a settings file, or outside of sections if it is empty."""
    content = yaml.safe_load(settings.read_text())
    (content[section] if section else content).update(changes)
    settings.write_text(yaml.safe_dump(content))


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """Return a running deployment with two upstreams of each kind."""
    with Cluster(tmp_path, upstreams=UPSTREAMS) as running:
        running.start_all(documents.write(tmp_path, documents.document(UPSTREAMS)))
        yield running


@pytest.fixture
def partitioned(tmp_path: Path) -> Iterator[Cluster]:
    """Return a deployment whose first availability zone can be isolated; it takes snapshots often."""
    settings = {'snapshot_after_entries': 40, 'kept_entries': 10}
    with Cluster(tmp_path, upstreams=UPSTREAMS, cut_zone=ZONES[0], control_settings=settings) as running:
        running.start_all(documents.write(tmp_path, documents.document(UPSTREAMS)))
        yield running
