"""What VMs tell each other of themselves, of targets and of the plan of routes."""
