"""Stand-ins for outside systems, and programs that measure and demonstrate."""
