"""The adapter to the users' platform: it translates names and forms, and no more."""
