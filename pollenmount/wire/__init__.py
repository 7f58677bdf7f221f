"""HTTP/1.1 towards targets and other entry VMs: connections, answers, events."""
