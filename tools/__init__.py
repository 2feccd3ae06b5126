"""Programs for developing rampwick."""
