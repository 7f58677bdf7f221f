"""The gateway of routes: entry VMs and control VMs of one fleet."""
