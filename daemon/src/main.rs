//! Placeholder while the workspace is laid out.
fn main() {}
