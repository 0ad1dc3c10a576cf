//! `check`: checks the entries of a file, each alone and all together, without a daemon.

use std::fs;
use std::path::Path;

use catalogue::file;
use eyre::WrapErr;
use serde_json::json;

use crate::failure::Failure;
use crate::output::Output;

pub(super) fn run(output: &Output, from: &Path) -> Result<(), Failure> {
    let name = from.display().to_string();
    let text = fs::read_to_string(from).wrap_err_with(|| format!("{name} cannot be read"))?;
    let entries = file::parse(&name, &text).map_err(|e| eyre::eyre!("{e}"))?;
    output.reply(&json!({"ok": true, "entries": entries.len()}), |_| {
        println!("{name}: {} entries, no problems", entries.len());
    })
}
