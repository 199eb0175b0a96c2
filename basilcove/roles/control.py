"""Assembles a member of the control group."""

from basilcove.catalog import coordinator as _catalog  # noqa: F401
from basilcove.catalog.control import ControlState
from basilcove.concurrency.models import ConcurrencyState
from basilcove.consensus import coordinator as _consensus  # noqa: F401
from basilcove.consensus.models import ConsensusState
from basilcove.core.ids import Role
from basilcove.daemon import Assembly, builds
from basilcove.gateway.totals import AttemptTotals
from basilcove.quarantine import coordinator as _quarantine  # noqa: F401
from basilcove.quarantine.models import QuarantineState
from basilcove.registry import coordinator as _registry  # noqa: F401
from basilcove.registry.models import RegistryState
from basilcove.roles.common import add_common
from basilcove.storage.driver import StorageDriver
from basilcove.storage.journal import Journal
from basilcove.throttling import coordinator as _throttling  # noqa: F401
from basilcove.throttling.leases import LeaseBook
from basilcove.throttling.models import ThrottlingState
from basilcove.wiring import concurrency as _concurrency  # noqa: F401
from basilcove.wiring import throttling as _voters  # noqa: F401
from basilcove.wiring.documents import CatchUp


@builds(Role.CONTROL)
def build_control(assembly: Assembly) -> None:
    """Add a member of the control group; StorageError if its folder can't be used."""
    cfg = assembly.settings.control
    assert cfg is not None
    add_common(assembly)
    journal = Journal(cfg.data_folder)
    recovered = journal.open()
    identity = assembly.identity
    node = assembly.runtime.node
    consensus = ConsensusState.from_recovered(identity.node, identity.incarnation, cfg.bootstrap, recovered)
    consensus.snapshot_after = cfg.snapshot_after_entries
    consensus.kept_entries = cfg.kept_entries
    consensus.admits_unknown = cfg.admits_unknown
    consensus.fault_tolerance = cfg.fault_tolerance
    node.add(consensus)
    assembly.readiness.append(lambda: f'storage failed: {consensus.failure}' if consensus.failure else None)
    assembly.metrics.gauge(
        'storage_failed',
        'Whether a write or sync failed, 0 or 1; the replica acknowledges nothing until it restarts.',
        lambda: float(bool(consensus.failure)),
    )
    node.add(ControlState.from_recovered(identity.node, recovered))
    node.add(CatchUp(identity.node))
    node.add(RegistryState())
    node.add(AttemptTotals())
    node.add(ThrottlingState(book=LeaseBook(identity.node)))
    concurrency = ConcurrencyState()
    node.add(concurrency)
    quarantine = QuarantineState()
    node.add(quarantine)
    assembly.metrics.gauge(
        'quarantined_parts', 'Parts of prompts that are refused or on trial.', lambda: len(quarantine.records)
    )
    assembly.metrics.labelled_gauge(
        'group_limit',
        'Requests in flight that a group may have at most.',
        'group',
        lambda: {str(group): limit for group, limit in concurrency.limits().items()},
    )
    storage = StorageDriver(journal, assembly.runtime.post)
    assembly.runtime.add_driver(storage)
    assembly.setups.append(storage.setup)
    assembly.unloads.append(storage.unload)
