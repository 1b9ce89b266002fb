//! Prints tables and JSON.

use serde::Serialize;
use tabled::settings::Style;
use tabled::{Table, Tabled};

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("fireflylug: the answer cannot be shown: {error}"),
    }
}

/// Prints rows as a table.
pub fn table<T: Tabled>(rows: &[T]) {
    println!("{}", Table::new(rows).with(Style::sharp()));
}
