"""Soak test: real proxy processes under seeded faults, killed at their memory limit as the platform does."""
