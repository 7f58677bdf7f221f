"""Non-idempotent requests: reserved before they run, recorded after."""
