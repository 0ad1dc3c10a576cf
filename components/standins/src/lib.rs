//! Stand-ins of the platform, for tests, the bench and dev.
