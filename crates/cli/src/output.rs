//! Prints lines, tables and JSON to standard output.

use std::io::{ErrorKind, Write, stdout};

use serde::Serialize;
use tabled::settings::Style;
use tabled::{Table, Tabled};

use crate::CliError;

/// Prints a line and flushes it.
pub fn line(text: &str) -> Result<(), CliError> {
    let mut out = stdout().lock();
    let written = writeln!(out, "{text}").and_then(|()| out.flush());
    written.map_err(|error| match error.kind() {
        ErrorKind::BrokenPipe => CliError::OutputClosed,
        _ => CliError::Failed(format!("cannot write the output: {error}")),
    })
}

/// Prints a value as indented JSON.
pub fn json(value: &impl Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(value);
    line(&text.map_err(|error| {
        CliError::Failed(format!("cannot convert the response to JSON: {error}"))
    })?)
}

/// Prints rows as a table.
pub fn table<T: Tabled>(rows: &[T]) -> Result<(), CliError> {
    line(&Table::new(rows).with(Style::sharp()).to_string())
}
