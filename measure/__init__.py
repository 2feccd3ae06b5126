"""Measurements of the decisions under scripted load, and of the daemon's own costs."""
