"""The platform's and the operators' settings."""
