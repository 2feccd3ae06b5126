"""Stand-ins for clients, servers and the platform, shared by the scripts."""
