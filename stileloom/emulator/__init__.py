"""Stand-ins for the platform: object API, machine list, weight store, engines, trainers."""
