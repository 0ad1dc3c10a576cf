//! Choice of upstream.
