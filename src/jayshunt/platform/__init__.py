"""Translate between the product and the users' platform; nothing here decides."""
