"""Soak test: random faults on daemon processes, with checks of the guarantees."""
