"""Tests of freshness proofs under any schedule of events."""

import math
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tanagerspoke.coordination.accounts import freshness
from tanagerspoke.coordination.accounts import proof_queries

_NODES = st.integers(0, 2)
# Steps at which messages wait and processes are frozen, in whole seconds, so
# that sums are exact.
_STEPS = st.integers(1, 9)


def _new_node() -> freshness.ConfigFreshness:
    return freshness.ConfigFreshness(bound_s=5.0)


class ProofMachine(stateful.RuleBasedStateMachine):
    """Three nodes, a store and messages that take any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        # Time at which each version, by number, was written.
        self.written_at = [0.0]
        self.nodes = [_new_node() for _ in range(3)]
        self.open_reads: list[list] = []
        self.open_queries: list[list] = []

    @stateful.rule(step=_STEPS)
    def wait(self, step: int) -> None:
        """Time passes: messages are late, or processes are frozen."""
        self.now += step

    @stateful.rule()
    def write(self) -> None:
        """The store confirms a newer version."""
        self.written_at.append(self.now)

    @stateful.rule(node=_NODES)
    def restart(self, node: int) -> None:
        """A node forgets its proof; answers to its requests are lost."""
        self.nodes[node] = _new_node()
        self.open_reads = [r for r in self.open_reads if r[0] != node]
        self.open_queries = [q for q in self.open_queries if q[0] != node]

    @stateful.rule(node=_NODES, other=_NODES)
    def push(self, node: int, other: int) -> None:
        """A node gets the version of another one through the zone feed."""
        if self.nodes[other].version is not None:
            self.nodes[node].set_version(self.nodes[other].version)

    @stateful.rule(node=_NODES)
    def send_read(self, node: int) -> None:
        self.open_reads.append([node, self.now, None])

    @stateful.rule(data=st.data())
    @stateful.precondition(lambda self: self.open_reads)
    def advance_read(self, data: st.DataObject) -> None:
        """The store answers a request, or its answer arrives."""
        read = data.draw(st.sampled_from(self.open_reads))
        node, sent_at, version = read
        if version is None:
            read[2] = len(self.written_at) - 1
            return
        self.open_reads.remove(read)
        self.nodes[node].set_version(version)
        self.nodes[node].record_proof(version=version, proven_at=sent_at)

    @stateful.rule(node=_NODES, other=_NODES)
    def send_query(self, node: int, other: int) -> None:
        self.open_queries.append([node, self.now, other, None])

    @stateful.rule(data=st.data())
    @stateful.precondition(lambda self: self.open_queries)
    def advance_query(self, data: st.DataObject) -> None:
        """Another node replies to a query, or its reply arrives."""
        query = data.draw(st.sampled_from(self.open_queries))
        node, sent_at, other, reply = query
        if reply is None:
            asked = self.nodes[other]
            query[3] = (asked.version, asked.age_s(self.now))
            return
        self.open_queries.remove(query)
        self.nodes[node].record_reply(
            version=reply[0], age_s=reply[1], sent_at=sent_at
        )

    @stateful.invariant()
    def proofs_are_never_too_new(self) -> None:
        """Guards against a removed key that is accepted after the bound."""
        for node in self.nodes:
            age_s = node.age_s(self.now)
            if age_s is None:
                continue
            replaced_at = self.now
            if node.version + 1 < len(self.written_at):
                replaced_at = self.written_at[node.version + 1]
            assert self.now - age_s <= replaced_at


TestProofMachine = ProofMachine.TestCase
TestProofMachine.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=60
)


def test_age_adds_up_along_a_chain_of_nodes() -> None:
    """Guards against a proof that becomes young again when it is passed on."""
    reader, relay, node = nodes = [_new_node() for _ in range(3)]
    for each in nodes:
        each.set_version(3)
    reader.record_proof(version=3, proven_at=10.0)
    relay.record_reply(version=3, age_s=reader.age_s(11.0), sent_at=10.75)
    node.record_reply(version=3, age_s=relay.age_s(12.0), sent_at=11.5)
    assert relay.age_s(12.0) == 2.25
    assert node.age_s(12.0) == 2.75
    node.record_reply(version=3, age_s=4.0, sent_at=12.0)
    assert node.age_s(12.0) == 2.75


def test_proofs_of_newer_versions_and_empty_replies_do_not_count() -> None:
    """Guards against a proof of a table that this node does not have."""
    node = _new_node()
    assert not node.record_proof(version=1, proven_at=1.0)
    node.set_version(2)
    assert not node.record_reply(version=3, age_s=0.0, sent_at=1.0)
    assert not node.record_reply(version=2, age_s=None, sent_at=1.0)
    assert not node.record_reply(version=None, age_s=0.0, sent_at=1.0)
    assert not node.is_confirmed(1.0)
    assert node.record_reply(version=1, age_s=0.0, sent_at=1.0)
    assert node.is_confirmed(5.5)
    assert not node.is_confirmed(5.625)


def test_other_nodes_are_asked_before_the_proof_expires() -> None:
    """Guards against a refusal while a reachable node has a proof."""
    node = _new_node()
    queries = proof_queries.ProofQueries(
        config_freshness=node, rng=random.Random(1)
    )
    assert queries.needs_others(0.0)
    node.set_version(1)
    node.record_proof(version=1, proven_at=0.0)
    asked_at = []
    now = 0.0
    while node.is_confirmed(now):
        if queries.needs_others(now):
            asked_at.append(now)
        delay_s = queries.next_delay_s(now)
        assert delay_s <= 1.0
        now += delay_s
    assert len(asked_at) >= 6
    assert len(queries.choose_others("abcdef")) == 2
    assert queries.choose_others("a") == ["a"]
    node.set_bound(None)
    assert not queries.needs_others(1e9)
    assert math.isinf(queries.next_delay_s(1.0))
