"""Tests of how misdirected heartbeats are redirected, counted and announced."""

import itertools

import cbor2

from elmthread.common.clock import seconds
from elmthread.net.http_messages import Request
from elmthread.peers.messages import LeaderAnnouncement
from elmthread.reachability.misdirected import MisdirectedHeartbeat, MisdirectedHeartbeats


def announcement(
    node: str, count: int, sample: list[MisdirectedHeartbeat], machine_count: int = 0
) -> LeaderAnnouncement:
    """Return a node's announcement in the term with token 9."""
    return LeaderAnnouncement("a", 9, node, count, sample, machine_count)


def summary(misdirected: MisdirectedHeartbeats, fencing_token: int) -> tuple[int, list[MisdirectedHeartbeat]]:
    summarized = misdirected.summarize(fencing_token)
    return summarized.count, summarized.sample


def test_misdirected_machines_are_counted_once_within_the_window() -> None:
    now = [seconds(0)]
    count = itertools.count(1)
    misdirected = MisdirectedHeartbeats(lambda: now[0], seconds(7))
    misdirected.observe(announcement("a", 0, [], machine_count=10))

    def redirected(machine: str, fencing_token: int, leader: str | None = "a") -> object:
        body = {"loom": machine, "baton": fencing_token, "shift": 1, "tally": next(count)}
        return misdirected.redirect(Request("POST", "/", {}, cbor2.dumps(body)), leader, 9).response().body

    # A worker that has not seen this term is redirected to its leader. Of workers that have, a single one is sent back
    # to the leader, while many are told to try the next node.
    assert redirected("m-1", 5) == {"foreman": "a"} and redirected("m-1", 0) == {"foreman": "a"}
    assert summary(misdirected, 9) == (0, [])
    assert redirected("m-1", 9) == {"foreman": "a"} and redirected("m-1", 9) == {"foreman": "a"}
    assert redirected("m-2", 9) == {} and redirected("m-1", 9) == {} and redirected("m-2", 9) == {}
    assert redirected("m-3", 9, None) == {}
    assert misdirected.redirect(Request("POST", "/", {}, b"\xff"), "a", 9).response().body == {"foreman": "a"}
    assert summary(misdirected, 9) == (2, [("m-1", 1, 6), ("m-2", 1, 7)])
    # Heartbeats of an earlier term are not counted in a later one.
    assert summary(misdirected, 10) == (0, [])
    now[0] = seconds(8)
    assert summary(misdirected, 9) == (0, [])


def test_single_worker_is_sent_back_to_the_leader_in_a_small_cluster() -> None:
    """Guard against a worker that tries all nodes after one lost response and returns after its lease has expired."""
    misdirected = MisdirectedHeartbeats(lambda: seconds(0), seconds(7))
    misdirected.observe(announcement("a", 0, [], machine_count=6))

    def redirected(machine: str) -> object:
        body = {"loom": machine, "baton": 9, "shift": 1, "tally": 1}
        return misdirected.redirect(Request("POST", "/", {}, cbor2.dumps(body)), "a", 9).response().body

    assert redirected("m-1") == {"foreman": "a"} and redirected("m-1") == {"foreman": "a"} and redirected("m-2") == {}


def test_announced_heartbeats_count_only_if_they_are_newer() -> None:
    now = [seconds(0)]
    misdirected = MisdirectedHeartbeats(lambda: now[0], seconds(7))
    sample = [MisdirectedHeartbeat(f"m-{number}", 1, number) for number in range(4)]
    misdirected.observe(announcement("b", 40, sample))
    misdirected.observe(announcement("c", 10, sample))
    misdirected.observe(announcement("d", 70, []))
    estimates = {node: misdirected.estimate_at(node, 9, lambda heartbeat: True) for node in "abcd"}
    assert (
        estimates == {"a": 0, "b": 40, "c": 10, "d": 0}
        and misdirected.estimate_at("b", 10, lambda heartbeat: True) == 0
    )
    # Delayed copies of heartbeats that the leader has received do not show that machines reach another node.
    assert misdirected.estimate_at("b", 9, lambda heartbeat: heartbeat.sequence > 2) == 10
    assert misdirected.estimate_at("b", 9, lambda heartbeat: False) == 0
    now[0] = seconds(8)
    assert misdirected.estimate_at("b", 9, lambda heartbeat: True) == 0
