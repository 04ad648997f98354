"""Tests of the output and the exit codes of `elmthread rollout status`."""

import socket
from pathlib import Path

import pytest

from elmthread import cli
from elmthread.common.features import SupportedLevels
from elmthread.rollout.command import describe
from elmthread.rollout.view import Announcement, RolloutView, UnreadableAnnouncement
from elmthread.settings.rollout import RolloutSettings
from tests.world.settings import NODES, settings

MEMBERS = frozenset(NODES)
SETTINGS = RolloutSettings(enabled=True, soak_s=600.0)
UPGRADED = SupportedLevels(1, 2)


def make_announcement(highest: int = 2, hold_at: int | None = None, at: float = 900.0) -> Announcement:
    return Announcement(SupportedLevels(1, highest), MEMBERS, 5, "process", at, hold_at)


def describe_as_text(view: RolloutView) -> str:
    return "\n".join(describe(view, MEMBERS, UPGRADED, SETTINGS, now=1000.0))


def test_each_node_and_each_obstacle_is_printed() -> None:
    announcements = {
        "loom-0": make_announcement(hold_at=1),
        "loom-1": make_announcement(1),
        "loom-9": make_announcement(),
    }
    text = describe_as_text(RolloutView(1, 0, announcements))
    assert text.startswith("active level: 1\n") and "DONE_BITMAPS (level 2): off" in text
    assert "loom-0: levels 1 to 2, holds at 1, announced 100 s ago" in text
    assert "loom-2: nothing announced" in text
    assert "not in these settings: loom-9" in text
    assert "level 2 waits: loom-1 runs an older version (levels 1 to 1)" in text
    assert "level 2 waits: loom-0 holds the level by its settings (at 1)" in text
    assert "level 2 waits: loom-2 has never announced itself" in text


def test_the_remaining_soak_time_and_the_end_of_the_rollout_are_printed() -> None:
    all_announced = {
        "loom-0": make_announcement(),
        "loom-1": make_announcement(at=950.0),
        "loom-2": make_announcement(),
    }
    assert "level 2 may be activated, in about 550 s" in describe_as_text(RolloutView(1, 0, all_announced))
    ended = describe_as_text(RolloutView(2, 9, all_announced))
    assert "DONE_BITMAPS (level 2): active" in ended and ended.endswith("this version knows no higher level")
    unreadable = RolloutView(1, 0, {"loom-1": UnreadableAnnouncement(4, "no members")})
    assert "loom-1: unreadable announcement: no members" in describe_as_text(unreadable)


def test_an_unreachable_store_and_invalid_settings_print_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as closed:
        # The socket is bound but does not listen, so connections are refused.
        closed.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
        config, operators_file = tmp_path / "settings.toml", tmp_path / "own.toml"
        config.write_text(settings("loom-0", NODES).replace("10.2.0.1:2379", address))
        status = ["rollout", "status", "--config", str(config)]
        assert cli.main(status) == 1
        assert capsys.readouterr().err.startswith(f"elmthread: {address}: ")
    for text, expected in (
        ("soak_s = -1", "rollout.soak_s: must be from 0"),
        ("hold_at = 0", "rollout.hold_at: must be from 1"),
        ("enabeld = true", "enabeld"),
        ("soak_s = 'long'", "float"),
    ):
        operators_file.write_text(f"[rollout]\n{text}\n")
        assert cli.main([*status, "--operators", str(operators_file)]) == 2
        printed = capsys.readouterr().err
        assert expected in printed and printed.count("\n") == 1
