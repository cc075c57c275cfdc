//! Golden files: expected output as bytes or text, committed beside the tests that read it. They change only when the format
//! changes.
//!
//! If the environment variable `GOLDEN_WRITE` is set, each file is rewritten before it is read. Use this only to add new kinds.

use std::path::Path;

/// The kind of one golden file entry, and its encoded bytes.
pub type Item = (&'static str, Vec<u8>);

/// Encodes bytes as hexadecimal text, two digits per byte.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes the output of [`to_hex`].
///
/// # Panics
/// Panics if the text is not hexadecimal or has an odd number of digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Returns the text of a file in the package's `tests/golden`. `current` is the program's current output.
///
/// # Panics
/// Panics if the file is missing or, with `GOLDEN_WRITE` set, cannot be written.
pub fn read(package: &str, file: &str, current: &str) -> String {
    let path = Path::new(package).join("tests/golden").join(file);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, current).expect("the golden file can be written");
    }
    std::fs::read_to_string(&path).expect("the golden file can be read")
}

/// Compares encoded items with a golden file that has one item per line: its kind, and its bytes in hexadecimal. Returns the
/// bytes in the file.
///
/// # Panics
/// Panics if the items or their bytes differ from the file.
pub fn assert_items(package: &str, file: &str, written: &[Item]) -> Vec<Vec<u8>> {
    let line = |(kind, bytes): &Item| format!("{kind} {}\n", to_hex(bytes));
    let current: String = written.iter().map(line).collect();
    let text = read(package, file, &current);
    let golden: Vec<(&str, Vec<u8>)> = text
        .lines()
        .map(|line| line.split_once(' ').expect("a kind and its bytes"))
        .map(|(kind, hex)| (kind, from_hex(hex)))
        .collect();
    assert_eq!(golden.len(), written.len(), "{file}: number of items");
    for ((golden_kind, golden_bytes), (kind, bytes)) in golden.iter().zip(written) {
        assert_eq!(golden_kind, kind, "{file}");
        assert_eq!(to_hex(golden_bytes), to_hex(bytes), "{file}: {kind}");
    }
    golden.into_iter().map(|(_, bytes)| bytes).collect()
}
