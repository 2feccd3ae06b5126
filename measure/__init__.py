"""Simulations of the policy under scripted load, and benchmarks of the daemon."""
