"""A fault soak: real processes on loopback, faults from outside, promises checked.

``python -m soak --seed 7`` draws a fleet's troubles from the seed, plays them while
callers work, and checks what callers and upstreams saw.
"""
