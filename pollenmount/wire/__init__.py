"""HTTP/1.1 client for targets and other entry VMs."""
