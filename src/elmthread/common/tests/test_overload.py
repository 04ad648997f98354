"""What is refused by a node that has fallen behind."""

from elmthread.common.clock import ZERO, seconds
from elmthread.common.overload import MEASUREMENTS, OverloadControl, WorkClass


def test_kinds_are_refused_in_order_and_only_while_it_lasts() -> None:
    load = OverloadControl(lambda: ZERO)
    # A standstill is one late timer, however late; it is over when it is seen.
    load.record_delay(seconds(20))
    assert not any(load.rejects(kind) for kind in WorkClass)
    seen = []
    for late in (0.1, 0.7, 1.2, 3.0, 0.7, 0.0):
        for _ in range(MEASUREMENTS):
            load.record_delay(seconds(late))
        refused = [kind for kind in WorkClass if load.rejects(kind)]
        # Whatever is refused, all that is less needed is refused too.
        assert refused == list(WorkClass)[: len(refused)]
        seen.append(len(refused))
    assert seen == [0, 1, 2, 3, 1, 0]
