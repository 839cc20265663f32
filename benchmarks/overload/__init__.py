"""What an overload does to a fleet: offered load in steps, judged by what hosts and clients saw."""
