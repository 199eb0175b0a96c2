from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness import documents
from tests.harness.cluster import ZONES, Cluster, UpstreamSpec

ENGINE = 'tests.standins.engine'
SERVICE = 'tests.standins.service'

UPSTREAMS = (
    UpstreamSpec('engine-1', ENGINE, ZONES[0], models='rider-assistant'),
    UpstreamSpec('engine-2', ENGINE, ZONES[1], models='rider-assistant'),
    UpstreamSpec('hire-1', SERVICE, ZONES[0], services='hire'),
    UpstreamSpec('hire-2', SERVICE, ZONES[1], services='hire'),
)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """Return a running deployment with two upstreams of each kind."""
    with Cluster(tmp_path, upstreams=UPSTREAMS) as running:
        running.start_all(documents.write(tmp_path, documents.document(UPSTREAMS)))
        yield running


@pytest.fixture
def divided(tmp_path: Path) -> Iterator[Cluster]:
    """Return a deployment whose first availability zone can be cut off; snapshots are taken often."""
    settings = {'snapshot_after_entries': 40, 'kept_entries': 10}
    with Cluster(tmp_path, upstreams=UPSTREAMS, cut_zone=ZONES[0], control_settings=settings) as running:
        running.start_all(documents.write(tmp_path, documents.document(UPSTREAMS)))
        yield running
