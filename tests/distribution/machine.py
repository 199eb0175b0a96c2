"""State machine that exposes a fleet to faults, with the invariants of its documents."""

import dataclasses
import itertools
import math
import zlib
from collections import deque
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilcove.core.events import Message, Received
from basilcove.core.ids import NodeId, Zone
from basilcove.distribution.messages import Chunk, Delta, Offer
from tests.distribution.fleet import Fleet
from tests.distribution.network import SILENCE_S, Host

# Design, section 1.2: an accepted document is in effect everywhere within this time.
EVERYWHERE_S = 4.0
# Design, section 5: how long a node that is cut off waits for the highest offer.
HIGHEST_OFFER_S = 1.0
# How long a node looks for a control majority before it considers itself cut off.
CUT_OFF_S = 2.0
# How long a node that reaches a control majority without a leader waits for one.
LEADERLESS_S = 8.0
TICK_S = 0.1

_LAYOUT = Fleet.layout()
_CONTROLS = [name for name in _LAYOUT if name.startswith('control')]
_OTHERS = [name for name in _LAYOUT if name not in _CONTROLS]
_NODES = st.sampled_from(list(_LAYOUT))
# Two of three control hosts accept a document; the third may follow later.
_MAJORITIES = st.sampled_from([*itertools.combinations(_CONTROLS, 2), tuple(_CONTROLS)])


def corrupt(message: Message, how: int) -> Message | None:
    """Return the message with a wrong digest or content, or None for one that has neither."""
    if isinstance(message, Offer) and message.digest:
        return dataclasses.replace(message, digest=bytes(32))
    if isinstance(message, Chunk):
        change: dict[str, Any] = {'digest': bytes(32)} if how % 2 else {'body': _other_copy(message.body)}
        return dataclasses.replace(message, **change)
    if isinstance(message, Delta):
        *before, last = message.steps
        changed = {'digest': bytes(32)} if how % 2 else {'patch': last.patch.replace('10', '11')}
        return dataclasses.replace(message, steps=(*before, dataclasses.replace(last, **changed)))
    return None


def _other_copy(packed: bytes) -> bytes:
    # A readable copy of a document that was never accepted, if the chunk contains a whole copy.
    return zlib.compress(zlib.decompress(packed).replace(b'10', b'11'))


class DistributionMachine(RuleBasedStateMachine):
    """Nodes over bad links that restart without disks; the oracle knows the accepted documents."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.net = self.fleet.net
        self.lossy_until = 0.0
        # Highest revision accepted when each node's present process started.
        self.accepted_at_start = dict.fromkeys(_LAYOUT, 0)
        # Version of the evacuated zones when each node's present process started.
        self.version_at_start = dict.fromkeys(_LAYOUT, 0)
        self.checked: set[tuple[str, int]] = set()
        # What each node held, and whether it was caught up, at the ticks of the last second, oldest first.
        # An offer takes time to arrive, so readiness is judged by the oldest.
        self.held = deque([dict.fromkeys(_LAYOUT, (0, False))], maxlen=round(HIGHEST_OFFER_S * 10) + 1)

    @rule(replicas=_MAJORITIES, teams=st.sampled_from([2, 2, 20, 60]))
    def accept(self, replicas: tuple[str, ...], teams: int) -> None:
        is_majority = len(replicas) > len(_CONTROLS) // 2
        if is_majority and all(map(self.fleet.is_running, replicas)):
            self.fleet.accept(list(replicas), teams)

    @rule(replicas=_MAJORITIES, zone=st.sampled_from(['nobsa', 'tibasosa', 'unknown']))
    def change_zone(self, replicas: tuple[str, ...], zone: str) -> None:
        if all(map(self.fleet.is_running, replicas)):
            self.fleet.change_zone(list(replicas), Zone(zone))

    @rule(pair=st.permutations(_CONTROLS), name=st.sampled_from(_OTHERS), wait_s=st.sampled_from([0, 0.3, 4]))
    def accept_and_die(self, pair: list[str], name: str, wait_s: float) -> None:
        """The leader dies before any follower hears of what it accepted, and a node restarts."""
        leader, follower, other = pair
        self.net.cut.clear()
        for control in pair:
            if not self.fleet.is_running(control):
                self.restart(control, 100)
        self.accept((leader, follower, other), 2)
        self.converge()
        self.fleet.accept_and_die(leader, follower)
        self.restart(name, 0)
        self._run(wait_s)

    @rule(duration_s=st.sampled_from([0.1, 0.3, 1, 3.5]))
    def run(self, duration_s: float) -> None:
        self._run(duration_s)

    @rule(loss=st.sampled_from([0, 0, 0.2, 0.6]), duplication=st.sampled_from([0, 0.5]))
    def set_links(self, loss: float, duplication: float) -> None:
        self.net.loss, self.net.duplication = loss, duplication

    @rule(rate=st.sampled_from([0, 0, 0.3]), how=st.integers(0, 1))
    def set_corruption(self, rate: float, how: int) -> None:
        self.net.corruption = rate
        self.net.corrupt = lambda message: corrupt(message, how)

    @rule(max_delay_s=st.sampled_from([0.01, 0.1, 0.4]))
    def set_delay(self, max_delay_s: float) -> None:
        """Delays are drawn for each message, so the larger ones reorder messages too."""
        self.net.max_delay_s = max_delay_s

    @rule(one=_NODES, other=_NODES)
    def cut(self, one: str, other: str) -> None:
        if one != other:
            self.net.cut.add(frozenset((NodeId(one), NodeId(other))))

    @rule()
    def cut_off_zone(self) -> None:
        for one, other in itertools.combinations(_LAYOUT, 2):
            if _LAYOUT[one] != _LAYOUT[other]:
                self.net.cut.add(frozenset((NodeId(one), NodeId(other))))

    @rule(name=_NODES)
    def cut_off_from_control(self, name: str) -> None:
        for control in _CONTROLS:
            self.cut(name, control)

    @rule()
    def heal(self) -> None:
        self.net.cut.clear()

    @rule(name=_NODES)
    def kill(self, name: str) -> None:
        self.net.stop(NodeId(name))

    @rule(name=_NODES, known=st.sampled_from([0, 1, 3, 100]))
    def restart(self, name: str, known: int) -> None:
        self.accepted_at_start[name] = len(self.fleet.accepted)
        self.version_at_start[name] = self.fleet.evacuations[-1].version
        self.fleet.start(name, _LAYOUT[name], known)

    @rule(
        name=_NODES,
        peers=st.sets(_NODES, min_size=1, max_size=3),
        known=st.sampled_from([None, 0, 1]),
        duration_s=st.sampled_from([0.5, 1.5, 2.5, 3.5]),
    )
    def restart_beside(self, name: str, peers: set[str], known: int | None, duration_s: float) -> None:
        """A node restarts and reaches only these peers, which lag or have restarted as well."""
        beside = sorted(peers - {name})
        for peer in beside:
            for other in _LAYOUT:
                self.cut(peer, other)
        for _ in range(2):
            self.accept(tuple(control for control in _CONTROLS if control not in beside), 2)
        self._run(0.5)
        for other in _LAYOUT:
            self.cut(name, other)
        for peer in beside:
            self.net.cut.discard(frozenset((NodeId(name), NodeId(peer))))
            if known is not None:
                self.restart(peer, known)
        self.restart(name, known or 0)
        self._run(duration_s)

    @rule(name=_NODES)
    def damage_history(self, name: str) -> None:
        """The node's deltas no longer lead to the documents that they state."""
        history = self.fleet.state(name).own.history
        for index, (base, step) in enumerate(history.steps):
            history.steps[index] = (base, dataclasses.replace(step, patch=step.patch.replace('10', '11')))

    @rule(name=st.sampled_from(_CONTROLS))
    def hear_leader(self, name: str) -> None:
        """A replica that reaches a majority of its group applies all that is committed."""
        pairs = [frozenset((NodeId(name), NodeId(other))) for other in _CONTROLS if other != name]
        reached = [
            pair for pair in pairs if pair not in self.net.cut and all(map(self.fleet.is_running, pair))
        ]
        if reached and self.fleet.is_running(name):
            self.fleet.catch_up(name)

    @rule(pick=st.integers(0, 199), change=st.integers(0, 3))
    def deliver_again(self, pick: int, change: int) -> None:
        """Deliver a message once more, as it was or with a wrong digest or content."""
        if not self.net.history:
            return
        target, event = self.net.history[-1 - pick % len(self.net.history)]
        message = corrupt(event.message, change) if change else event.message
        if message is not None and self.fleet.is_running(target):
            self.net.apply(target, Received(event.peer, message))

    @rule()
    def converge(self) -> None:
        """All that can reach one another have the highest revision in effect in time."""
        self.net.loss = 0
        self.net.corruption = 0
        self.net.max_delay_s = min(self.net.max_delay_s, 0.1)
        self._run(2 * SILENCE_S)
        self._run(EVERYWHERE_S)
        self._run(self._leaderless_wait_s())
        for names in self._components():
            revisions = {name: self.fleet.state(name).own.revision for name in names}
            highest = max(revisions.values())
            assert set(revisions.values()) == {highest}, f'no convergence: {revisions}'
            for name in names if highest else ():
                assert self.fleet.in_effect(name), f'{name} is not ready'
                assert self.fleet.in_effect(name)[-1][0] == highest
            versions = {each: self.fleet.state(each).evacuations.version for each in names}
            assert len(set(versions.values())) == 1, f'zones do not converge: {versions}'

    @rule(replicas=_MAJORITIES)
    def accept_and_spread(self, replicas: tuple[str, ...]) -> None:
        """A change reaches all that can be reached from the control hosts that accepted it."""
        self.converge()
        if not all(map(self.fleet.is_running, replicas)):
            return
        revision = self.fleet.accept(list(replicas))
        self._run(EVERYWHERE_S)
        for names in self._components():
            if not names.isdisjoint(replicas):
                late = [name for name in names if self.fleet.in_effect(name)[-1][0] != revision]
                assert not late, f'{late} lack revision {revision} after {EVERYWHERE_S:g} s'

    @invariant()
    def only_accepted_revisions_forwards(self) -> None:
        for name in _LAYOUT:
            seen = self.fleet.in_effect(name)
            revisions = [revision for revision, _ in seen]
            assert revisions == sorted(set(revisions)), f'{name} went back: {revisions}'
            for revision, text in seen:
                assert self.fleet.accepted.get(revision) == text, f'{name} has a document nobody accepted'

    @invariant()
    def only_committed_zones_forwards(self) -> None:
        for name in _LAYOUT:
            seen = self.fleet.in_effect_state(name).evacuations
            versions = [version for version, _ in seen]
            assert versions == sorted(set(versions)), f'{name} went back: {versions}'
            for version, zones in seen:
                assert self.fleet.evacuations[version].zones == zones, f'{name} has other zones'
            assert bool(seen) == self.fleet.state(name).ready

    @invariant()
    def ready_only_when_allowed(self) -> None:
        for name in _LAYOUT:
            host = self.net.hosts[NodeId(name)]
            state = self.fleet.state(name)
            if not state.ready or (name, host.peer.incarnation) in self.checked:
                continue
            self.checked.add((name, host.peer.incarnation))
            self._check_ready(name, host)

    def teardown(self) -> None:
        """Everything heals, and the newest accepted document is in effect everywhere."""
        self.net.cut.clear()
        for name in _LAYOUT:
            if not self.fleet.is_running(name):
                self.restart(name, 0)
        for control in _CONTROLS:
            self.hear_leader(control)
        self.converge()
        self.only_accepted_revisions_forwards()
        self.only_committed_zones_forwards()

    def _leaderless_wait_s(self) -> float:
        """Return how long nodes that reach a majority without a leader still have to wait."""
        waits = [0.0]
        for name in _LAYOUT:
            host = self.net.hosts[NodeId(name)]
            reached = {other for other in (name, *host.links) if other in _CONTROLS}
            is_majority = len(reached) > len(_CONTROLS) // 2
            if is_majority and self.fleet.state(name).confirmed_revision is None:
                ready_at = host.started_at + LEADERLESS_S + HIGHEST_OFFER_S
                # The link is found, and readiness decided, up to a tick later.
                waits.append(ready_at + 2 * TICK_S - self.net.now)
        return math.ceil(max(waits) / TICK_S) * TICK_S

    def _run(self, duration_s: float) -> None:
        # In steps of one tick, so that readiness is judged by the links of that moment.
        for _ in range(round(duration_s * 10)):
            if self.net.loss or self.net.corruption:
                self.lossy_until = self.net.now + 0.1
            self.net.run(0.1)
            self.ready_only_when_allowed()
            states = {name: self.fleet.state(name) for name in _LAYOUT}
            self.held.append({name: (state.own.revision, state.caught_up) for name, state in states.items()})

    def _check_ready(self, name: str, host: Host) -> None:
        ready_at, revision = self.fleet.in_effect_state(name).ready[0]
        version = self.fleet.in_effect_state(name).evacuations[0][0]
        if revision >= self.accepted_at_start[name] and version >= self.version_at_start[name]:
            return
        # Lower than what was accepted at its start: only a node that is cut off may do so.
        age_s = ready_at - host.started_at
        assert age_s >= CUT_OFF_S + HIGHEST_OFFER_S - 0.15, f'{name} was ready after {age_s:.1f} s'
        if ready_at - self.lossy_until <= 2 * HIGHEST_OFFER_S:
            return
        settled = self._settled(host, ready_at)
        caught_up = [other for other in settled if other in _CONTROLS and self.held[0][other][1]]
        is_leaderless = not any(map(self.fleet.reaches_majority, caught_up))
        if is_leaderless and age_s >= LEADERLESS_S + HIGHEST_OFFER_S - 0.15:
            return
        heard = len(caught_up) + (name in _CONTROLS and self.held[0][name][1])
        assert heard <= len(_CONTROLS) // 2, f'{name} was ready at {revision} beside {caught_up}'
        for other in settled:
            if _LAYOUT[other] == _LAYOUT[name]:
                assert self.held[0][other][0] <= revision, f'{name} was ready below its peer {other}'

    def _settled(self, host: Host, now: float) -> list[str]:
        """Return the peers whose links have been up for longer than a node waits for offers."""
        return [
            other
            for other, peer in host.links.items()
            if now - host.linked_at[other] > HIGHEST_OFFER_S
            and self.fleet.is_running(other)
            and self.net.hosts[other].peer == peer
            and frozenset((host.peer.node, other)) not in self.net.cut
        ]

    def _components(self) -> list[set[str]]:
        left = {name for name in _LAYOUT if self.fleet.is_running(name)}
        found = []
        while left:
            component = {min(left)}
            left -= component
            frontier = list(component)
            while frontier:
                links = self.net.hosts[NodeId(frontier.pop())].links
                fresh = left.intersection(links)
                left -= fresh
                component |= fresh
                frontier.extend(fresh)
            found.append(component)
        return found
