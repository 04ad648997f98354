"""What is refused by a node that has fallen behind."""

from elmthread.common.clock import ZERO, seconds
from elmthread.common.load import LASTING, Kind, Load


def test_kinds_are_refused_in_order_and_only_while_it_lasts() -> None:
    load = Load(lambda: ZERO)
    # A standstill is one late timer, however late; it is over when it is seen.
    load.note(seconds(20))
    assert not any(load.refuses(kind) for kind in Kind)
    seen = []
    for late in (0.1, 0.7, 1.2, 3.0, 0.7, 0.0):
        for _ in range(LASTING):
            load.note(seconds(late))
        refused = [kind for kind in Kind if load.refuses(kind)]
        # Whatever is refused, all that is less needed is refused too.
        assert refused == list(Kind)[: len(refused)]
        seen.append(len(refused))
    assert seen == [0, 1, 2, 3, 1, 0]
