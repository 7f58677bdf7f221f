"""Fixtures: a network of its own for each test worker, a cluster of processes."""

import os

import pytest

from standins.cluster import Cluster

FIRST_NETWORK = int(os.environ.get("POLLENMOUNT_NETWORK", "20"))


@pytest.fixture
def network(worker_id):
    """Return the second number of this worker's loopback addresses."""
    digits = "".join(c for c in worker_id if c.isdigit())
    return FIRST_NETWORK + int(digits or 0)


@pytest.fixture
def cluster(tmp_path):
    """Return a cluster whose processes end with the test."""
    with Cluster(tmp_path) as running:
        yield running
