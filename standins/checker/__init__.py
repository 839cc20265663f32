"""What is judged from what was seen; pure."""
