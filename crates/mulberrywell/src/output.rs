//! Exit status and table output of the command line.

use std::process::ExitCode;

use serde_json::Value;

/// Exit status of the command line, as documented for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed, or the system refused it.
    Failed = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// A file or a list has findings.
    Findings = 3,
    /// Another edit was committed first.
    Conflict = 4,
    /// No control instance answered; whether a change was made is unknown.
    Unreachable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Prints rows of text as aligned columns.
pub fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = head.iter().map(|text| text.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|text| (*text).to_owned()).collect();
    for row in std::iter::once(&head).chain(rows) {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

/// Formats a JSON value as the text of a table cell.
pub fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell_text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
