"""Counters, gauges and histograms of a process, for the metrics address and statsd."""

from __future__ import annotations
