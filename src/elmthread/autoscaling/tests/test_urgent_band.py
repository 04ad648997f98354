"""Tests of the band of the urgent share."""

from elmthread.autoscaling.urgent_band import BandDecision, band_decision


def test_the_decision_follows_from_the_share_and_the_band() -> None:
    assert band_decision(50, 100, 0.4, 0.05) is BandDecision.SCALE_OUT
    assert band_decision(42, 100, 0.4, 0.05) is BandDecision.KEEP
    assert band_decision(30, 100, 0.4, 0.05) is BandDecision.SCALE_IN
    assert band_decision(1, 0, 0.4, 0.05) is BandDecision.SCALE_OUT
    assert band_decision(0, 0, 0.4, 0.05) is BandDecision.KEEP
