"""Tests of the leadership backoff after terms that link failures ended."""

import random
from bisect import bisect_left
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.common.clock import ZERO, seconds
from elmthread.reachability.backoff import LeadershipBackoff
from elmthread.reachability.bounds import BACKOFF_JITTER, HOUR
from elmthread.reachability.tests.stand_ins import BOUNDS, DETERMINISTIC_SETTINGS, ManualClock


def test_backoff_grows_on_repeated_failures_and_decays_afterwards() -> None:
    clock = ManualClock()
    backoff = LeadershipBackoff(BOUNDS, clock, random.Random(1), single_node=False)
    assert not backoff.is_active and backoff.candidacy_delay(ZERO) == ZERO
    durations = []
    for _ in range(8):
        backoff.begin()
        began = clock.now
        # A backoff delays no candidacy once leadership has been vacant for long enough.
        assert backoff.candidacy_delay(BOUNDS.min_backoff) == ZERO
        assert ZERO < backoff.candidacy_delay(ZERO) <= BOUNDS.min_backoff
        while backoff.is_active:
            clock.advance(0.5)
        durations.append(clock.now - began)
    assert durations[0] <= BOUNDS.min_backoff + seconds(0.5) and durations[-1] > BOUNDS.max_backoff * (
        1 - BACKOFF_JITTER
    )
    assert max(durations) <= BOUNDS.max_backoff + seconds(0.5) and durations[3] > durations[0]
    clock.advance(10 * BOUNDS.max_backoff.total_seconds())
    backoff.begin()
    assert backoff._until - clock.now == BOUNDS.min_backoff
    # A single node never backs off.
    single_node = LeadershipBackoff(BOUNDS, clock, random.Random(1), single_node=True)
    single_node.begin(longest=True)
    assert not single_node.is_active


@settings(DETERMINISTIC_SETTINGS)
@given(st.integers(0, 1000), st.sampled_from([0.1, 0.5, 3.0, 30.0, 100.0]))
def test_terms_per_hour_stay_within_the_bound(seed: int, longest_pause: float) -> None:
    """End each term of three nodes immediately, and start the next one as soon as a backoff allows it."""
    clock = ManualClock()
    nodes = [LeadershipBackoff(BOUNDS, clock, random.Random(seed + n), single_node=False) for n in range(3)]
    began: list[timedelta] = []
    vacant_since = clock.now
    rng = random.Random(seed)
    for _ in range(2000):
        clock.advance(rng.uniform(0.0, longest_pause))
        delays = [node.candidacy_delay(clock.now - vacant_since) for node in nodes]
        if min(delays) == ZERO:
            nodes[delays.index(ZERO)].begin()
            began.append(clock.now)
            vacant_since = clock.now
    for number, first in enumerate(began):
        assert bisect_left(began, first + HOUR) - number <= BOUNDS.max_terms_per_hour(3)
