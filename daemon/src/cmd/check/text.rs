//! What `check` prints for people.

use lint::{Change, Difference, FieldChange, Listed, Subject};
use platform::{Diagnostic, Report};

/// Prints the errors, the warnings, the differences and a summary.
pub(super) fn report(file: &str, report: &Report) -> String {
    let mut lines = Vec::new();
    diagnostics(file, "error", &report.errors, &mut lines);
    diagnostics(file, "warning", &report.warnings, &mut lines);
    if let Some(found) = &report.differences {
        differences(found, &mut lines);
    }
    let counts = [("error", &report.errors), ("warning", &report.warnings)];
    let counts = counts.map(|(kind, found)| (kind, found.items.len() + found.left_out));
    let found = counts.iter().filter(|(_, count)| *count > 0);
    let found = found.map(|(kind, count)| counted(*count, kind));
    let found = found.collect::<Vec<_>>();
    lines.push(match found.is_empty() {
        true => format!("{file}: no errors or warnings"),
        false => format!("{file}: {}", found.join(", ")),
    });
    let lines = lines.iter().map(|line| printable(line) + "\n");
    lines.collect()
}

fn counted(count: usize, thing: &str) -> String {
    match count {
        1 => format!("1 {thing}"),
        _ => format!("{count} {thing}s"),
    }
}

fn diagnostics(file: &str, kind: &str, found: &Listed<Diagnostic>, lines: &mut Vec<String>) {
    for diagnostic in &found.items {
        let place = match (diagnostic.line, diagnostic.column) {
            (Some(line), Some(column)) => format!("{file}:{line}:{column}"),
            _ => file.to_owned(),
        };
        let path = match &*diagnostic.path {
            "" => String::new(),
            path => format!("{path}: "),
        };
        let Diagnostic { code, message, .. } = diagnostic;
        lines.push(format!("{place}: {kind}: {path}{message} [{code}]"));
    }
    if found.left_out > 0 {
        let left_out = counted(found.left_out, &format!("more {kind}"));
        lines.push(format!("{file}: {left_out} not shown"));
    }
}

fn differences(found: &Listed<Difference>, lines: &mut Vec<String>) {
    if found.is_empty() {
        lines.push("no differences from the configuration in force".to_owned());
        return;
    }
    lines.push("differences from the configuration in force:".to_owned());
    for difference in &found.items {
        let subject = match difference.subject {
            Subject::Configuration => "configuration".to_owned(),
            Subject::Route => format!("route {}", difference.name),
            Subject::Service => format!("service {}", difference.name),
            Subject::Customer => format!("customer {}", difference.name),
        };
        let change = match difference.change {
            Change::Added => "added",
            Change::Removed => "removed",
            Change::Changed => "changed",
        };
        lines.push(format!("  {subject} {change}"));
        lines.extend(difference.fields.iter().map(field));
    }
    if found.left_out > 0 {
        let left_out = counted(found.left_out, "more difference");
        lines.push(format!("  {left_out} not shown"));
    }
}

fn field(change: &FieldChange) -> String {
    let field = change.field;
    match (&change.in_force, &change.proposed) {
        (Some(old), Some(new)) => format!("      {field}: {old} -> {new}"),
        (None, Some(new)) => format!("    + {field}: {new}"),
        (Some(old), None) => format!("    - {field}: {old}"),
        (None, None) => format!("      {field}"),
    }
}

/// Escapes control characters. A name in the file may hold some, which a terminal would interpret.
pub(super) fn printable(text: &str) -> String {
    let mut printable = String::with_capacity(text.len());
    for c in text.chars() {
        match c.is_control() {
            true => printable.extend(c.escape_default()),
            false => printable.push(c),
        }
    }
    printable
}
