"""Tests of the compiled build and its loader."""
