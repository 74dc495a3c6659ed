"""Adapter to the users' platform: its names, formats and calls, translated at this boundary.

Nothing here decides anything, and nothing outside this folder knows the platform's names."""
