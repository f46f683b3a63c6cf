"""Accept jobs, dispatch their tasks to workers and size the pools."""
