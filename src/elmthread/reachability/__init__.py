"""Link monitoring between controllers, the store and workers, and leader step-down on partial connectivity."""
