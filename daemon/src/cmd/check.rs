//! `check`: checks a configuration of the users' platform before it is sent.

mod text;

use std::fs::File;
use std::io::{Write, stdin, stdout};
use std::path::Path;
use std::process::ExitCode;

use eyre::{WrapErr, ensure};
use lint::{Known, RetryBound};
use platform::{Report, Settings, check_config, read_config};
use serde::Serialize;

use crate::cli::Check;

/// Exit code if there are errors or warnings.
const FINDINGS: u8 = 1;
/// Exit code if something can't be read, or the configuration is not JSON.
pub const UNREADABLE: u8 = 2;

/// What is printed for programs.
#[derive(Serialize)]
struct Output<'a> {
    file: &'a str,
    /// Why nothing could be checked.
    unreadable: Option<String>,
    #[serde(flatten)]
    report: Option<&'a Report>,
}

/// Prints what is wrong with a configuration, and what it changes.
pub fn run(options: &Check) -> eyre::Result<ExitCode> {
    let file = name(&options.file);
    let checked = check(options);
    let output = Output {
        file: &file,
        unreadable: checked.as_ref().err().map(|e| format!("{e:#}")),
        report: checked.as_ref().ok(),
    };
    let printed = match &checked {
        _ if options.json => serde_json::to_string_pretty(&output)? + "\n",
        Ok(report) => text::report(&file, report),
        Err(e) => {
            eprintln!("error: {}", text::printable(&format!("{e:#}")));
            String::new()
        }
    };
    // Whoever reads the output may have closed it, and the exit code still tells the outcome.
    let _ = stdout().write_all(printed.as_bytes());
    Ok(match &checked {
        Ok(report) if !report.is_json => ExitCode::from(UNREADABLE),
        Ok(report) if !report.errors.is_empty() || !report.warnings.is_empty() => {
            ExitCode::from(FINDINGS)
        }
        Ok(_) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(UNREADABLE),
    })
}

fn check(options: &Check) -> eyre::Result<Report> {
    let in_force = options.in_force.as_deref();
    ensure!(
        !is_stdin(&options.file) || !in_force.is_some_and(is_stdin),
        "only one of the two configurations can be standard input"
    );
    let known = known(options)?;
    let proposed = read(&options.file)?;
    let current = in_force.map(read).transpose()?;
    let report = check_config(&proposed, current.as_deref(), &known);
    report.wrap_err_with(|| {
        let name = in_force.map(name).unwrap_or_default();
        format!("{name}: is no configuration that can be in force")
    })
}

fn known(options: &Check) -> eyre::Result<Known> {
    let settings = options.settings.as_deref().map(Settings::from_file);
    // The error's text has its cause already.
    let settings = settings.transpose().map_err(|e| eyre::eyre!("{e}"))?;
    let bounds = settings.map(|settings| settings.contract_bounds);
    let upstreams = options.upstreams.iter();
    Ok(Known {
        retries: bounds.map(|bounds| RetryBound {
            ratio: bounds.retry_ratio(),
            allowance: bounds.retry_allowance(),
        }),
        upstreams: upstreams
            .map(|known| (known.service.clone(), known.count))
            .collect(),
    })
}

fn is_stdin(path: &Path) -> bool {
    path == Path::new("-")
}

fn name(path: &Path) -> String {
    match is_stdin(path) {
        true => "standard input".to_owned(),
        false => path.display().to_string(),
    }
}

fn read(path: &Path) -> eyre::Result<Vec<u8>> {
    let text = match is_stdin(path) {
        true => read_config(stdin().lock()),
        false => match File::open(path) {
            Ok(file) => read_config(file),
            Err(e) => Err(e.into()),
        },
    };
    text.wrap_err_with(|| name(path))
}
