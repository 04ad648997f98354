"""Development commands; no controller imports anything from here."""
