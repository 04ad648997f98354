"""Which work an overloaded node refuses."""

from elmthread.common.clock import ZERO, seconds
from elmthread.common.overload import MEASUREMENTS_FOR_OVERLOAD, OverloadControl, WorkClass


def test_work_classes_are_refused_in_order_and_only_during_overload() -> None:
    overload_control = OverloadControl(lambda: ZERO)
    # A single late timer is no overload, however late it is: the stall is over once it is measured.
    overload_control.record_delay(seconds(20))
    assert not any(overload_control.rejects(work) for work in WorkClass)
    refused_counts = []
    for delay_s in (0.1, 0.7, 1.2, 3.0, 0.7, 0.0):
        for _ in range(MEASUREMENTS_FOR_OVERLOAD):
            overload_control.record_delay(seconds(delay_s))
        refused = [work for work in WorkClass if overload_control.rejects(work)]
        # If a class is refused, all less important classes are refused too.
        assert refused == list(WorkClass)[: len(refused)]
        refused_counts.append(len(refused))
    assert refused_counts == [0, 1, 2, 3, 1, 0]
