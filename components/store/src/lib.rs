//! Client of the platform's key-value service.
