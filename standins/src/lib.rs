//! Stand-ins for the platform and the upstreams, for tests, the demo and experiments.
