//! Bills, sealed batches, roll-up and export.
