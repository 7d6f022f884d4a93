"""HTTP proxying of lookups and streams: routing, sampler selection and retries."""
