"""HTTP gateway that routes requests by a plan: entry VMs and control VMs."""
