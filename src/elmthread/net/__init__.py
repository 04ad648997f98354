"""HTTP over asyncio streams: the server for users and workers, and the client for the store and the cloud."""
