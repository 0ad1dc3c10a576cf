//! `trace`: collects the lines that explain one request from the logs of several hosts.

use std::fs::File;
use std::io::{BufRead, BufReader};

use eyre::WrapErr;
use serde_json::json;

use crate::cli::Trace;
use crate::failure::Failure;
use crate::output::Output;
use crate::timeline::{LogLine, timeline};

pub(super) fn run(output: &Output, args: &Trace) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &args.logs {
        let name = path.display().to_string();
        let f = File::open(path).wrap_err_with(|| format!("{name} cannot be read"))?;
        let host = path.file_stem().map(|stem| stem.to_string_lossy());
        let host = host.unwrap_or_default();
        for text in BufReader::new(f).lines() {
            let text = text.wrap_err_with(|| format!("{name} cannot be read"))?;
            lines.extend(LogLine::parse(&host, &text));
        }
    }
    let timeline = timeline(&args.id, lines);
    if timeline.is_empty() {
        let e = eyre::eyre!(
            "no line of these logs has the id {}; name the logs of all hosts with --logs, and \
             look whether lines were dropped at that time",
            args.id
        );
        return Err(e.into());
    }
    let values = timeline.iter().map(LogLine::to_json).collect::<Vec<_>>();
    output.reply(&json!({ "lines": values }), |_| {
        timeline.iter().for_each(|line| println!("{line}"));
    })
}
