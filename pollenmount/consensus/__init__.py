"""Replicated logs: Raft consensus, durable storage and the runtime of replicas."""
