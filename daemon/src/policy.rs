//! Reads the file that overrides entries of the policy.

use std::fs;
use std::path::Path;

use dispatch::Policy;
use eyre::WrapErr;

/// Reads and checks a policy file; without a file, returns the default policy.
pub fn read(path: Option<&Path>) -> eyre::Result<Policy> {
    let Some(path) = path else {
        return Ok(Policy::default());
    };
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("{name}: cannot be read"))?;
    parse(&text).wrap_err(name)
}

fn parse(text: &str) -> eyre::Result<Policy> {
    let policy = serde_norway::from_str::<Policy>(text)?;
    policy.check()?;
    Ok(policy)
}
