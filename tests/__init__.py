"""Tests of rampwick."""
