"""Rampwick."""
