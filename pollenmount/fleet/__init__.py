"""State shared between VMs over links: members, targets and the plan of routes."""
