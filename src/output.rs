//! Output of the tool: tables for people, JSON for programs.

use adminapi::edit::EditReply;
use adminapi::error::ErrorReply;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use eyre::WrapErr;
use serde::Serialize;

use crate::failure::Failure;

/// Prints results in the chosen format.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Creates an output that prints JSON if `json` is true, else tables.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a reply as JSON, or with the function `table`.
    pub(crate) fn reply<T: Serialize>(
        &self,
        reply: &T,
        table: impl FnOnce(&T),
    ) -> Result<(), Failure> {
        if self.json {
            let text = serde_json::to_string_pretty(reply).wrap_err("cannot be written as JSON")?;
            println!("{text}");
        } else {
            table(reply);
        }
        Ok(())
    }

    /// Prints the reply to an applied edit.
    pub(crate) fn edited(&self, reply: &EditReply) -> Result<(), Failure> {
        self.reply(reply, |reply| {
            let name = reply
                .name
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default();
            let revision = reply
                .revision
                .map(|r| format!(", revision {r}"))
                .unwrap_or_default();
            println!("{name}: applied{revision}, edit {}", reply.edit_id);
        })
    }

    /// Prints a failure to standard error. In JSON mode, also prints a daemon's error reply to
    /// standard output.
    pub(crate) fn failure(&self, failure: &Failure) {
        eprintln!("error: {failure}");
        if self.json
            && let Failure::Refused(body) = failure
        {
            let reply = ErrorReply {
                error: body.as_ref().clone(),
            };
            println!(
                "{}",
                serde_json::to_string_pretty(&reply).unwrap_or_default()
            );
        }
    }
}

/// Creates an empty table with a header line.
pub(crate) fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header);
    table
}

/// Prints a table without trailing blanks.
pub(crate) fn print_table(table: &Table) {
    for line in table.to_string().lines() {
        println!("{}", line.trim_end());
    }
}
