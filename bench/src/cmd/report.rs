//! `report`: runs all experiments in sequence and writes one page.
//!
//! Each experiment runs in its own process, so that a failure or leaked memory doesn't affect the
//! next one. Its figures are read from its last line of output.

use std::fmt::Write;
use std::path::Path;
use std::process::Command;

use eyre::Context;
use serde_json::Value;

use crate::cli::ReportPage;

/// Experiments in the order of the page, with additional arguments.
const EXPERIMENTS: &[(&str, &[&str])] = &[
    ("overhead", &[]),
    ("outage", &[]),
    ("faults", &[]),
    ("claims", &[]),
    ("balance", &[]),
    ("burst", &[]),
    ("decide", &[]),
    ("bad-version", &[]),
    ("cascade", &[]),
    ("rollout", &[]),
];

/// Runs all experiments and writes `index.html`.
pub fn run(options: &ReportPage) -> eyre::Result<()> {
    std::fs::create_dir_all(&options.folder)?;
    let mut page = String::from(HEAD);
    for (name, extra_args) in EXPERIMENTS {
        eprintln!("report: running {name}");
        let result = run_experiment(name, extra_args, options);
        write_section(&mut page, name, &result, &options.folder)?;
    }
    page.push_str("</body></html>\n");
    let path = options.folder.join("index.html");
    std::fs::write(&path, page)?;
    println!("{}", path.display());
    Ok(())
}

fn run_experiment(name: &str, extra_args: &[&str], options: &ReportPage) -> eyre::Result<Value> {
    let output = Command::new(std::env::current_exe()?)
        .arg(name)
        .args(["--seed", &options.seed.to_string(), "--json", "--plot"])
        .arg(&options.folder)
        .args(extra_args)
        .output()
        .wrap_err("starting the experiment")?;
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().last().unwrap_or_default();
    if !output.status.success() {
        let errors = String::from_utf8_lossy(&output.stderr);
        eyre::bail!("{}: {}", output.status, errors.trim());
    }
    serde_json::from_str(line).wrap_err("the last line of output is not JSON")
}

const HEAD: &str = "<!doctype html>\n<html><head><meta charset=\"utf-8\">\
<title>buckthorncross: measurements</title>\n<style>\
body{font-family:sans-serif;max-width:60em;margin:2em auto}\
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}\
td:first-child,th:first-child{text-align:left}</style></head><body>\n\
<h1>buckthorncross: measurements</h1>\n";

fn write_section(
    page: &mut String,
    name: &str,
    result: &eyre::Result<Value>,
    folder: &Path,
) -> eyre::Result<()> {
    writeln!(page, "<h2>{}</h2>", escape(name))?;
    let report = match result {
        Ok(report) => report,
        Err(e) => {
            writeln!(page, "<p><b>failed</b>: {}</p>", escape(&format!("{e:#}")))?;
            return Ok(());
        }
    };
    let (seed, violations) = (&report["seed"], &report["violations"]);
    writeln!(page, "<p>Seed {seed}, violations {violations}.</p>")?;
    write_table(page, &report["arms"])?;
    write_plots(page, name, folder)
}

/// Writes a table with a row per figure and a column per arm.
fn write_table(page: &mut String, arms: &Value) -> eyre::Result<()> {
    let Some(arms) = arms.as_object() else {
        return Ok(());
    };
    let figures = arms.values().filter_map(Value::as_object);
    let figures = figures.flat_map(|figures| figures.keys());
    let figures = figures.collect::<std::collections::BTreeSet<_>>();
    write!(page, "<table><tr><th></th>")?;
    for arm in arms.keys() {
        write!(page, "<th>{}</th>", escape(arm))?;
    }
    writeln!(page, "</tr>")?;
    for figure in figures {
        write!(page, "<tr><td>{}</td>", escape(figure))?;
        for values in arms.values() {
            let value = values.get(figure).and_then(Value::as_f64);
            let text = value.map(|v| format!("{v:.4}")).unwrap_or_default();
            write!(page, "<td>{text}</td>")?;
        }
        writeln!(page, "</tr>")?;
    }
    writeln!(page, "</table>")?;
    Ok(())
}

fn write_plots(page: &mut String, name: &str, folder: &Path) -> eyre::Result<()> {
    let prefix = format!("{name}-");
    let mut paths = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        let file_name = path.file_name().unwrap_or_default().to_string_lossy();
        if file_name.starts_with(&prefix) && file_name.ends_with(".svg") {
            paths.push(path);
        }
    }
    paths.sort();
    for path in paths {
        page.push_str(&std::fs::read_to_string(path)?);
        page.push('\n');
    }
    Ok(())
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
