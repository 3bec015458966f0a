//! Prints results as text or JSON.

use serde::Serialize;

use crate::{Failure, Result};

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    Json,
    Text,
}

impl Output {
    pub(crate) fn new(json: bool) -> Output {
        if json { Output::Json } else { Output::Text }
    }

    /// Prints `value` as JSON, or what `text` makes of it.
    pub(crate) fn print<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<()> {
        let line = match self {
            Output::Text => text(value),
            Output::Json => serde_json::to_string(value)
                .map_err(|error| Failure::Local(format!("can't print the answer: {error}")))?,
        };
        println!("{line}");
        Ok(())
    }
}

/// Rows with columns of equal width.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(String::len).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}
