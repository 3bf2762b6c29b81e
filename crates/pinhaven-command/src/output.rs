//! Results as a table for people or as JSON for programs.

use crate::CommandError;
use clap::Args;
use clap::ValueEnum;
use serde::Serialize;

/// Form of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// For people.
    Table,
    /// For programs.
    Json,
}

#[derive(Debug, Args)]
pub(crate) struct FormatArguments {
    /// Form of the result.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
}

/// A result that can be a row of a table.
pub(crate) trait Row: Serialize {
    /// Heads of the columns.
    const HEADERS: &'static [&'static str];

    /// The cells.
    fn cells(&self) -> Vec<String>;
}

impl FormatArguments {
    /// Prints rows in the form that was asked for.
    pub(crate) fn print<R: Row>(&self, rows: &[R]) -> Result<(), CommandError> {
        match self.format {
            Format::Json => {
                let text = serde_json::to_string_pretty(rows).map_err(CommandError::new)?;
                println!("{text}");
            }
            Format::Table => {
                let mut table = comfy_table::Table::new();
                table.load_style(comfy_table::presets::NOTHING);
                table.set_header(R::HEADERS);
                for row in rows {
                    table.add_row(row.cells());
                }
                println!("{table}");
            }
        }
        Ok(())
    }
}
