//! Evidence, estimates, choice of version and suspension.
