"""Traces of seeded days in the simulated world, as wire forms only, to compare two versions of the code."""
