"""When a leader takes its workers for out of reach."""

import itertools

import cbor2

from elmthread.common.clock import seconds
from elmthread.net.http_messages import Request
from elmthread.reachability.decide import majority_elsewhere
from elmthread.reachability.strays import MisdirectedReports


def test_only_most_machines_silent_here_and_heard_elsewhere_are_a_reason() -> None:
    assert majority_elsewhere(600, 400, 250)
    # Dead or cut off from all: another leader would hear no more of them.
    assert not majority_elsewhere(600, 600, 0)
    # A zone with its controller is cut off: the rest is heard here.
    assert not majority_elsewhere(600, 150, 150)
    assert not majority_elsewhere(0, 0, 0)
    # Reports arrive here, answers don't arrive there.
    assert majority_elsewhere(600, 50, 350) and not majority_elsewhere(600, 50, 250)


def test_machines_that_miss_the_leader_are_counted_once_and_for_a_while() -> None:
    now = [seconds(0)]
    count = itertools.count(1)
    reach = MisdirectedReports(lambda: now[0], seconds(7))
    reach.hear("a", 0, [], 9, 10)

    def comes(machine: str, fencing_token: int, leader: str | None = "a") -> object:
        body = {"loom": machine, "baton": fencing_token, "shift": 1, "tally": next(count)}
        return reach.redirect(Request("POST", "/", {}, cbor2.dumps(body)), leader, 9).body

    # One that has not seen this leadership is sent to it; of those that have, and come all the
    # same, one alone is sent back, and many go on to the next node.
    assert comes("m-1", 5) == {"foreman": "a"} and comes("m-1", 0) == {"foreman": "a"}
    assert reach.strays(9) == (0, [])
    assert comes("m-1", 9) == {"foreman": "a"} and comes("m-1", 9) == {"foreman": "a"}
    assert comes("m-2", 9) == {} and comes("m-1", 9) == {} and comes("m-2", 9) == {}
    assert comes("m-3", 9, None) == {}
    assert reach.redirect(Request("POST", "/", {}, b"\xff"), "a", 9).body == {"foreman": "a"}
    assert reach.strays(9) == (2, [("m-1", 1, 6), ("m-2", 1, 7)])
    # Of an earlier leadership it says nothing.
    assert reach.strays(10) == (0, [])
    now[0] = seconds(8)
    assert reach.strays(9) == (0, [])


def test_one_alone_is_sent_back_however_small_the_fleet() -> None:
    """Sent round all nodes for one lost answer, it would reach its leader after its lease."""
    reach = MisdirectedReports(lambda: seconds(0), seconds(7))
    reach.hear("a", 0, [], 9, 6)

    def comes(machine: str) -> object:
        body = {"loom": machine, "baton": 9, "shift": 1, "tally": 1}
        return reach.redirect(Request("POST", "/", {}, cbor2.dumps(body)), "a", 9).body

    assert comes("m-1") == {"foreman": "a"} and comes("m-1") == {"foreman": "a"} and comes("m-2") == {}


def test_what_another_node_says_counts_as_far_as_it_is_news() -> None:
    now = [seconds(0)]
    reach = MisdirectedReports(lambda: now[0], seconds(7))
    some = [(f"m-{number}", 1, number) for number in range(4)]
    reach.hear("b", 40, some, 9, 0)
    reach.hear("c", 10, some, 9, 0)
    reach.hear("d", 70, [], 9, 0)
    heard = {node: reach.heard_by(node, 9, lambda stray: True) for node in "abcd"}
    assert heard == {"a": 0, "b": 40, "c": 10, "d": 0} and reach.heard_by("b", 10, lambda stray: True) == 0
    # Late copies of what the leader has had are no sign that machines reach another node.
    assert reach.heard_by("b", 9, lambda stray: stray[2] > 2) == 10
    assert reach.heard_by("b", 9, lambda stray: False) == 0
    now[0] = seconds(8)
    assert reach.heard_by("b", 9, lambda stray: True) == 0
