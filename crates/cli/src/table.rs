//! Tables on standard output, in Markdown.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;

/// Creates an empty table with these column headers.
pub(crate) fn with_headers(headers: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(headers);
    table
}
