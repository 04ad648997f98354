"""The key-value store: its client, its records, and the group commit of many records in few transactions."""
