"""Figures and pages of a scenario run."""
