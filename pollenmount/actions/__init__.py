"""Non-idempotent requests: reserved in a log before they run, recorded after."""
