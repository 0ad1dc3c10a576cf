//! Cost and quality of the choice of version, beside simpler ways and an oracle.
