//! Tables on standard output.

/// Prints a table with column heads.
pub fn print_table(heads: &[&str], rows: &[Vec<String>]) {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(heads);
    table.add_rows(rows);
    println!("{table}");
}
