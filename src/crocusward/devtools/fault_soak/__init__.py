"""Randomised runs of real entry daemons with faults injected from outside."""
