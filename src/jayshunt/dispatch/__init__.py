"""Accept jobs, place their tasks on workers and size the pools."""
