"""Three real controllers on loopback: a rolling upgrade with jobs running, then the rollback of one node."""

import os
import subprocess
import sys
from pathlib import Path

from elmthread.common.features import SUPPORTED
from tools.loopback import real_loop
from tools.upgrade_cluster import NODES, Options, Upgrade

ROOT = Path(__file__).resolve().parent.parent


def test_real_controllers_are_upgraded_with_jobs_running_and_a_rollback_is_refused(tmp_path: Path) -> None:
    with real_loop() as loop:
        upgrade = Upgrade(loop, tmp_path, Options(earlier=None, rollout_enabled=True, soak_s=2.0))
        loop.run_until_complete(upgrade.run())
    assert upgrade.services.rules.violations == []
    assert upgrade.level() == SUPPORTED.highest
    events = [event for _, event in upgrade.events]
    assert f"{NODES[0]}, rolled back, answers /ready with 503" in events
    assert f"{NODES[0]}, new again, answers /ready with 200" in events
    refusals = [line for _, line in upgrade.nodes[NODES[0]].lines if "it does not take part" in line]
    assert len(refusals) == 1 and refusals[0].startswith("ERROR")
    # Every submission was answered in the end, and the upgrade restarted hardly any task.
    assert all(request_stats.counts["submissions given up"] == 0 for request_stats in upgrade.request_stats.values())
    starts = upgrade.services.rules.starts
    assert sum(starts.values()) < 1.1 * len(starts)


def test_rarely_needed_libraries_are_not_imported_at_startup() -> None:
    script = "import sys, elmthread.cli, elmthread.controller; print(*sys.modules)"
    environment = os.environ | {"PYTHONPATH": str(ROOT / "src")}
    loaded = subprocess.run([sys.executable, "-c", script], env=environment, capture_output=True, text=True, check=True)
    assert "elmthread.rollout.gate" in loaded.stdout.split()
    assert not {"bitarray", "jsonschema", "hdrh", "elmthread.rollout.command"} & set(loaded.stdout.split())
