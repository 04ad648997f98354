"""Traces of the wire messages of seeded simulated days, to compare two versions of the code."""
