"""The key-value store: its client, its records, and the writing of many records in few transactions."""
