"""Memory and connections of a VM: who may hold how much, and what is shed first."""
