"""Emulator of the platform: object API, machine list, weight store, engines and trainers."""
