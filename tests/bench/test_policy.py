"""Differential test: our scheduler against the naive one."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from bench import policy
from tanagerspoke.coordination import scheduling


def _outcomes(case, seed, mechanisms):
    result = policy.run(
        case=case,
        size=policy.SIZES["hverasel"],
        seconds=0.5,
        seed=seed,
        mechanisms=mechanisms,
    )
    return {r.call.call_id: r.outcome for r in result.records}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=8)
@hypothesis.given(seed=st.integers(1, 10_000))
@pytest.mark.parametrize("name", ["steady", "failfast", "lost", "stale200"])
def test_no_promise_is_worse_than_naive(name, seed):
    """Guards against calls that naive answers and we lose or refuse."""
    case = next(c for c in policy.CASES if c.name == name)
    case = dataclasses.replace(case, load=0.3)
    plain = _outcomes(case, seed, None)
    ours = _outcomes(case, seed, scheduling.Mechanisms())
    assert plain.keys() == ours.keys()
    assert set(ours.values()) <= {"useful", "refused", "failed"}
    if name in ("steady", "stale200"):
        assert ours == plain
    else:
        lost = sum(o != "useful" for o in ours.values())
        assert lost <= sum(o != "useful" for o in plain.values())
