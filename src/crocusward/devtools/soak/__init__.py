"""Long randomised runs of the real decision logic on fakes in virtual time."""
