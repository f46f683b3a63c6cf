"""Know which entries are alive."""
