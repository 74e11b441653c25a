"""Development scripts; not part of the shipped package."""
