"""Soak test with fault injection: real processes on loopback, faults from outside.

``python -m soak --seed 7`` draws a fault schedule from the seed, injects it while
callers send requests, and checks what callers and upstreams observed against the
guarantees.
"""
