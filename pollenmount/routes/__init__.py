"""Plans of routes: what callers may reach by host and path, and which target serves."""
