//! Type bytes of the messages that a client sends.

/// Bind, of the extended query protocol.
pub const BIND: u8 = b'B';
/// Close, of the extended query protocol.
pub const CLOSE: u8 = b'C';
/// CopyData.
pub const COPY_DATA: u8 = b'd';
/// CopyDone.
pub const COPY_DONE: u8 = b'c';
/// CopyFail.
pub const COPY_FAIL: u8 = b'f';
/// Describe, of the extended query protocol.
pub const DESCRIBE: u8 = b'D';
/// Execute, of the extended query protocol.
pub const EXECUTE: u8 = b'E';
/// Flush, of the extended query protocol.
pub const FLUSH: u8 = b'H';
/// FunctionCall.
pub const FUNCTION_CALL: u8 = b'F';
/// Parse, of the extended query protocol.
pub const PARSE: u8 = b'P';
/// PasswordMessage and the other responses to an authentication request.
pub const PASSWORD_MESSAGE: u8 = b'p';
/// Query, of the simple query protocol.
pub const QUERY: u8 = b'Q';
/// Sync, of the extended query protocol.
pub const SYNC: u8 = b'S';
/// Terminate: the client closes the session.
pub const TERMINATE: u8 = b'X';
