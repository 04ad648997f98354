"""Links between controllers."""
