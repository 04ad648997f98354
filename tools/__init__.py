"""Commands for those who work on the code; nothing here runs in a controller."""
