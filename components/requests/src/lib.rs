//! Life cycle of a request, its attempts and claims.
