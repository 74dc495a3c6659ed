"""Adapter to the platform of the users: translates the platform's names, formats and calls.

The adapter contains no decision logic, and no module outside this package uses the platform's
names."""
