//! Type bytes of the messages that a server sends.

/// Authentication messages, including AuthenticationOk.
pub const AUTHENTICATION: u8 = b'R';
/// BackendKeyData: the key that a CancelRequest must contain.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// CommandComplete.
pub const COMMAND_COMPLETE: u8 = b'C';
/// DataRow.
pub const DATA_ROW: u8 = b'D';
/// EmptyQueryResponse: replaces CommandComplete after an empty query.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// ErrorResponse.
pub const ERROR_RESPONSE: u8 = b'E';
/// NoticeResponse.
pub const NOTICE_RESPONSE: u8 = b'N';
/// ParameterStatus.
pub const PARAMETER_STATUS: u8 = b'S';
/// ReadyForQuery: the server is ready for the next query.
pub const READY_FOR_QUERY: u8 = b'Z';
/// RowDescription.
pub const ROW_DESCRIPTION: u8 = b'T';
