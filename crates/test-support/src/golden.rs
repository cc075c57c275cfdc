//! Golden files: bytes or text as the program once wrote them, committed beside the tests that read them. They change only
//! with the format.
//!
//! With `GOLDEN_WRITE` in the environment they are written anew before they are read; that is for new kinds only.

use std::path::Path;

/// What one line of a golden file shows, and its bytes.
pub type Item = (&'static str, Vec<u8>);

/// Two hexadecimal digits a byte.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads what [`to_hex`] wrote.
///
/// # Panics
/// The text is not hexadecimal, or has an odd number of digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// The text of a file in the package's `tests/golden`; `today` is what the program writes now.
///
/// # Panics
/// The file is not there, or cannot be written where it is to be.
pub fn read(package: &str, file: &str, today: &str) -> String {
    let path = Path::new(package).join("tests/golden").join(file);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, today).expect("the golden file can be written");
    }
    std::fs::read_to_string(&path).expect("the golden file can be read")
}

/// Compares what the code writes with a golden file of one item a line (its kind, and its bytes in hex), kind by kind;
/// returns the file's bytes.
///
/// # Panics
/// The file has other items, or other bytes.
pub fn assert_items(package: &str, file: &str, written: &[Item]) -> Vec<Vec<u8>> {
    let line = |(kind, bytes): &Item| format!("{kind} {}\n", to_hex(bytes));
    let today: String = written.iter().map(line).collect();
    let text = read(package, file, &today);
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
