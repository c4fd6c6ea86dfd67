"""Counters, gauges and histograms of a process, exposed to Prometheus and sent to statsd."""

from __future__ import annotations
