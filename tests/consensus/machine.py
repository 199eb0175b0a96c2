"""Stateful fuzzing of control hosts against a list of committed commands."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from basilcove.catalog.client import ClientState
from basilcove.catalog.commands import (
    AbandonClaim,
    AcquireLease,
    AdmitHost,
    ApplyDocument,
    Claim,
    CompleteClaim,
    EvacuateZone,
    ReleaseClaim,
    RemoveHost,
    RestoreZone,
)
from basilcove.catalog.events import ProposalFailed, Proposed
from basilcove.catalog.outcomes import ClaimGranted, DocumentApplied
from basilcove.catalog.snapshot import decode_state, encode_state
from basilcove.consensus.models import Members, MemberState
from basilcove.core.events import Message
from basilcove.core.ids import AttemptId, NodeId, RequestId, Revision, Stage, Zone
from basilcove.storage.models import EntryKind
from tests.consensus.cluster import CLIENT, Cluster
from tests.consensus.hosts import Host
from tests.consensus.oracle import ENVIRONMENT, document, replay

SPARES = (NodeId('host-spare-1'), NodeId('host-spare-2'))
KEYS = ('key-a', 'key-b')
OUTCOMES = st.sampled_from(['complete', 'release', 'abandon'])
_CHANGES = (ApplyDocument, AdmitHost, RemoveHost, EvacuateZone, RestoreZone)
SHARES = st.sampled_from([0, 0, 0.05, 0.3])


class ClusterMachine(RuleBasedStateMachine):
    """Every rule is an event of section 1.5 or a proposal of a client."""

    @initialize(size=st.sampled_from([3, 3, 5]), seed=st.integers(0, 2**16))
    def begin(self, size: int, seed: int) -> None:
        self.cluster = Cluster(size, seed, snapshot_after=8, kept=2)
        self.commands: dict[str, Message] = {}
        self.revision = 0
        self.ended: set[str] = set()
        self.cluster.elect()

    # Proposals

    @rule(key=st.sampled_from(KEYS), timeout_s=st.sampled_from([0.5, 3]))
    def claim(self, key: str, timeout_s: float) -> None:
        name = f'claim-{len(self.commands)}'
        self._propose(name, Claim(key, 'print', CLIENT, AttemptId(name)), timeout_s)

    @rule(data=st.data(), outcome=OUTCOMES)
    def end_claimed_attempt(self, data: st.DataObject, outcome: str) -> None:
        """A granted attempt ends; the claim of one whose proposal failed is released before it starts."""
        granted = [name for name in self._names_with_outcome(ClaimGranted) if name not in self.ended]
        failed = [
            name for name in self._failed_names() if name.startswith('claim') and name not in self.ended
        ]
        if not granted + failed:
            return
        name = data.draw(st.sampled_from(granted + failed))
        claim_command = self.commands[name]
        assert isinstance(claim_command, Claim)
        self.ended.add(name)
        commands = {
            'complete': CompleteClaim(claim_command.key, claim_command.attempt_id, b'answer'),
            'abandon': AbandonClaim(claim_command.key, claim_command.attempt_id),
            'release': ReleaseClaim(claim_command.key, claim_command.attempt_id),
        }
        self._propose(f'settle-{len(self.commands)}', commands[outcome if name in granted else 'release'])

    @rule(resend=st.booleans())
    def race_operators(self, resend: bool) -> None:
        """Two operators apply with equal revisions; each may resend under another proposal id."""
        applied = [event.result for event in self._answers() if isinstance(event.result, DocumentApplied)]
        revision = max((result.revision for result in applied), default=Revision(0))
        for operator in range(2):
            number = len(self.commands)
            command = ApplyDocument(
                ENVIRONMENT, Stage.TRIAL, revision, document(number), RequestId(f'request-{number}')
            )
            self._propose(f'apply-{number}-{operator}', command)
            if resend:
                self._propose(f'apply-{number}-{operator}-again', command)

    @rule(data=st.data())
    def resend_change(self, data: st.DataObject) -> None:
        """An operator who lost the answer to a change resends it."""
        names = sorted(name for name, command in self.commands.items() if isinstance(command, _CHANGES))
        if names:
            command = self.commands[data.draw(st.sampled_from(names))]
            self._propose(f'resend-{len(self.commands)}', command)

    @rule(name=st.sampled_from(['lease-a', 'lease-b']), duration=st.sampled_from([0.5, 5]))
    def acquire_lease(self, name: str, duration: float) -> None:
        number = len(self.commands)
        self._propose(f'lease-{number}', AcquireLease(name, f'holder-{number}', duration))

    @rule(zone=st.sampled_from(['a', 'b']), evacuate=st.booleans(), identified=st.booleans())
    def change_zone(self, zone: str, evacuate: bool, identified: bool) -> None:
        """An adapter changes a zone, or the tool, whose changes have an id."""
        number = len(self.commands)
        command = EvacuateZone if evacuate else RestoreZone
        request_id = RequestId(f'request-{number}' if identified else '')
        self._propose(f'zone-{number}', command(Zone(zone), 'operator', request_id))

    @rule(admit=st.booleans())
    def change_members(self, admit: bool) -> None:
        """Two operators change the group at the same time."""
        for spare in SPARES:
            if spare not in self.cluster.disks:
                self.cluster.add_host(spare)
            number = len(self.commands)
            request_id = RequestId(f'request-{number}')
            command = AdmitHost(spare, request_id) if admit else RemoveHost(spare, request_id)
            self._propose(f'members-{number}', command)

    # Failures

    @rule(seconds=st.sampled_from([0.05, 0.4, 1.5, 4]))
    def pass_time(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @rule(loss=SHARES, duplication=SHARES, delay=st.sampled_from([0.003, 0.05, 0.6]))
    def change_network(self, loss: float, duplication: float, delay: float) -> None:
        """A long delay also reorders messages, as each has its own random delay."""
        self.cluster.loss = loss
        self.cluster.duplication = duplication
        self.cluster.delay = (0.001, delay)

    @rule(data=st.data(), with_client=st.booleans(), seconds=st.sampled_from([0.3, 3]))
    def cut_off(self, data: st.DataObject, with_client: bool, seconds: float) -> None:
        names = data.draw(st.sets(st.sampled_from(self.cluster.bootstrap), max_size=2))
        self.cluster.partition(*names, *([CLIENT] if with_client else []))
        self.cluster.run(seconds)

    @rule(data=st.data(), incoming=st.booleans(), seconds=st.sampled_from([0.3, 3]))
    def cut_one_direction(self, data: st.DataObject, incoming: bool, seconds: float) -> None:
        """A host sends without receiving anything, or receives without its messages arriving."""
        name = data.draw(st.sampled_from(self.cluster.bootstrap))
        others = [other for other in (*self.cluster.disks, CLIENT) if other != name]
        self.cluster.cut_one_way = {(other, name) if incoming else (name, other) for other in others}
        self.cluster.run(seconds)

    @rule(data=st.data(), only_one=st.booleans(), seconds=st.sampled_from([0.002, 0.3]))
    def change_disks(self, data: st.DataObject, only_one: bool, seconds: float) -> None:
        """Slow syncs leave time for a crash between a vote or acknowledgement and its record."""
        if only_one:
            self.cluster.disks[data.draw(st.sampled_from(self.cluster.bootstrap))].sync_time = seconds
        else:
            self.cluster.sync_time = seconds

    @rule(data=st.data())
    def stop(self, data: st.DataObject) -> None:
        """A planned stop; the process is killed 1 s later, whether or not the stop has completed."""
        running = [name for name, host in self.cluster.hosts.items() if not host.is_frozen]
        if not running:
            return
        name = data.draw(st.sampled_from(sorted(running)))
        self.cluster.stop(name)
        self.cluster.run(1)
        self.cluster.kill(name)

    @rule(data=st.data(), seconds=st.sampled_from([0.02, 0.4]), is_lost=st.booleans())
    def lose_in_turn(self, data: st.DataObject, seconds: float, is_lost: bool) -> None:
        """Commit while one member is cut off, crash another during the commit, then cut off a third."""
        names = data.draw(st.permutations(self.cluster.bootstrap))
        away, crashed, last = names[:3]
        self.cluster.partition(away)
        self.cluster.disks[crashed].sync_time = data.draw(st.sampled_from([None, 0.05, 5]))
        self.claim(KEYS[0], 3)
        self.cluster.run(seconds)
        if is_lost and self._is_repaired():
            self.cluster.lose_disk(crashed)
        else:
            self.cluster.kill(crashed)
        self.cluster.disks[crashed].sync_time = None
        self.cluster.start(crashed)
        self.cluster.run(seconds)
        self.cluster.partition(last)
        self.cluster.run(4)

    @rule()
    def kill_all(self) -> None:
        """All members lose power at the same time and restart."""
        for name in tuple(self.cluster.hosts):
            self.cluster.kill(name)
        self.restart_all()

    @rule(data=st.data(), torn=st.booleans())
    def kill(self, data: st.DataObject, torn: bool) -> None:
        name = data.draw(st.sampled_from(sorted(self.cluster.disks)))
        self.cluster.kill(name, torn)

    @rule()
    def restart_all(self) -> None:
        for name in self.cluster.disks:
            if name not in self.cluster.hosts:
                self.cluster.start(name)

    @rule(data=st.data(), only_leader=st.booleans(), seconds=st.sampled_from([0.2, 2.5]))
    def freeze(self, data: st.DataObject, only_leader: bool, seconds: float) -> None:
        """A frozen process resumes with stale state and handles the queued events late."""
        hosts = self.cluster.hosts.items()
        running = [name for name, host in hosts if not host.is_frozen and (host.is_leader or not only_leader)]
        if not running:
            return
        name = data.draw(st.sampled_from(sorted(running)))
        host = self.cluster.hosts[name]
        host.is_frozen = True
        self.cluster.run(seconds)
        if self.cluster.hosts.get(name) is host:
            self.cluster.thaw(name)

    @precondition(lambda self: self._is_repaired())
    @rule(data=st.data(), wait=st.booleans())
    def replace_disk(self, data: st.DataObject, wait: bool) -> None:
        """A disk is lost only if no other repair is in progress."""
        name = data.draw(st.sampled_from(self.cluster.bootstrap))
        self.cluster.lose_disk(name)
        self.cluster.start(name)
        if wait:
            self._heal()
            self.cluster.run_until(self._is_repaired, limit=60)

    @rule(data=st.data())
    def fill_disk(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.cluster.bootstrap))
        self.cluster.disks[name].is_full = True
        self.cluster.run(0.3)
        self.cluster.kill(name)
        self.cluster.disks[name].is_full = False

    @rule(data=st.data(), seconds=st.sampled_from((0.3, 2.0, 5.0)))
    def fill_disk_for_a_time(self, data: st.DataObject, seconds: float) -> None:
        """The process keeps running and rejoins the group."""
        running = [name for name in self.cluster.bootstrap if name in self.cluster.hosts]
        if not running:
            return
        name = data.draw(st.sampled_from(running))
        self.cluster.disks[name].is_full = True
        self.cluster.run(seconds)
        if name in self.cluster.hosts:
            self.cluster.free_disk(name)

    # Checks

    def teardown(self) -> None:
        """After all failures end, the cluster answers again and all replicas are equal."""
        if not hasattr(self, 'cluster'):
            return
        self._heal()
        self.cluster.run_until(self._is_repaired, limit=90)
        self.cluster.ask('last', Claim('key-last', 'print', CLIENT, AttemptId('last')))
        self.cluster.run_until(self._is_quiescent)
        states = [encode_state(host.catalog) for host in self.cluster.hosts.values() if self._is_member(host)]
        oracle, outcomes = replay(self.cluster.committed)
        assert set(states) == {encode_state(oracle)}
        assert decode_state(states[0]) == oracle
        for event in self._answers():
            replayed = outcomes.get(event.proposal_id)
            assert replayed is None or event.result in replayed, event
        answers: dict[RequestId, Message] = {}
        for event in self._answers():
            command = self.commands.get(event.proposal_id)
            if isinstance(command, _CHANGES) and command.request_id:
                assert answers.setdefault(command.request_id, event.result) == event.result, event
        for name in self._failed_names():
            failed = self.cluster.results[name][0]
            assert isinstance(failed, ProposalFailed)
            assert failed.sent or name not in outcomes, failed

    def _propose(self, name: str, command: Message, timeout_s: float = 5) -> None:
        self.commands[name] = command
        self.cluster.propose(name, command, timeout_s)

    def _answers(self) -> list[Proposed]:
        return [
            event
            for events in self.cluster.results.values()
            for event in events
            if isinstance(event, Proposed)
        ]

    def _names_with_outcome(self, outcome: type[Message]) -> list[str]:
        return sorted(event.proposal_id for event in self._answers() if isinstance(event.result, outcome))

    def _failed_names(self) -> list[str]:
        results = self.cluster.results
        return sorted(name for name, events in results.items() if isinstance(events[0], ProposalFailed))

    def _heal(self) -> None:
        self.cluster.partition()
        self.cluster.loss = 0
        self.cluster.duplication = 0
        self.cluster.delay = (0.001, 0.003)
        self.cluster.sync_time = 0.002
        for disk in self.cluster.disks.values():
            disk.sync_time = None
        for name, host in tuple(self.cluster.hosts.items()):
            if host.is_frozen:
                self.cluster.thaw(name)
            if host.consensus.member_state is MemberState.FAILED or host.consensus.is_stopping:
                self.cluster.kill(name)
        self.restart_all()

    def _is_repaired(self) -> bool:
        """Tell whether all first members run with identities that are committed voters."""
        entries = self.cluster.committed.values()
        groups = [Members.decode(entry.body) for entry in entries if entry.kind is EntryKind.MEMBERS]
        voters = groups[-1].voters() if groups else ()
        hosts = [self.cluster.hosts.get(name) for name in self.cluster.bootstrap]
        return all(host is not None and host.consensus.member in voters for host in hosts)

    def _is_quiescent(self) -> bool:
        """Tell whether no proposal is pending and all members have applied all committed entries."""
        applied = {host.consensus.commit for host in self.cluster.hosts.values() if self._is_member(host)}
        pending = self.cluster.client.node.part(ClientState).pending
        return not pending and applied == {len(self.cluster.committed)}

    def _is_member(self, host: Host) -> bool:
        leader = self.cluster.elect()
        return host.consensus.member in {member.member for member in leader.consensus.members.members}
