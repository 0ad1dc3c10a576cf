//! `dump`: prints the daemon's internal state as JSON.

use adminapi::path;
use eyre::WrapErr;
use serde_json::Value;

use crate::client::Client;
use crate::failure::Failure;

pub(super) fn run(client: &Client, part: Option<&str>) -> Result<(), Failure> {
    let dump: Value = client.get(path::DUMP)?;
    let shown = match part {
        None => &dump,
        Some(name) => dump.get(name).ok_or_else(|| unknown_part(name, &dump))?,
    };
    let text = serde_json::to_string_pretty(shown).wrap_err("cannot be written as JSON")?;
    println!("{text}");
    Ok(())
}

fn unknown_part(name: &str, dump: &Value) -> eyre::Report {
    let parts = dump.as_object().into_iter().flat_map(|parts| parts.keys());
    let parts: Vec<&str> = parts.map(String::as_str).collect();
    eyre::eyre!("the dump has no part {name}; it has {}", parts.join(", "))
}
