//! Prints results as a table or as JSON.

use crate::CommandError;
use clap::Args;
use clap::ValueEnum;
use serde::Serialize;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// Aligned columns, for reading.
    Table,
    /// A JSON array, for programs.
    Json,
}

#[derive(Debug, Args)]
pub(crate) struct FormatArguments {
    /// Output format.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
}

/// A result that is printed as a row of a table.
pub(crate) trait Row: Serialize {
    /// Column headers.
    const HEADERS: &'static [&'static str];

    /// Returns the cells in the order of the headers.
    fn cells(&self) -> Vec<String>;
}

impl FormatArguments {
    /// Prints rows to standard output in the selected format.
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
