"""Accept jobs, place them on workers and track them until they end."""
