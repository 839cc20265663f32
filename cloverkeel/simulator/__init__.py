"""The adapter that plays the decisions on the simulator's wire."""
