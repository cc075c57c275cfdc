//! Parses the statements that are requests, with their comments. No other statement is sent to a
//! pod.

use bytes::Bytes;
use limewing_decision::interface::{ClassId, RoutingKey, TenantId};
use limewing_proxy_core::memory_budget::MemoryReservation;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;

/// Maximum length of the value of a row, in bytes.
const MAX_VALUE: usize = 64 * 1024;
/// Maximum length of a statement apart from the value, in bytes.
const MAX_OVERHEAD: usize = 4 * 1024;
/// Maximum length of a statement, in bytes: a value in hexadecimal digits and the surrounding text.
pub const MAX_STATEMENT: usize = 2 * MAX_VALUE + MAX_OVERHEAD;
/// Maximum length of an id, an idempotency key or the handle of a row, in bytes.
const MAX_TOKEN: usize = 64;
/// Delimiters of the comment.
const COMMENT_START: &str = " /* ";
const COMMENT_END: &str = " */";

/// Why a statement is not a request; the text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// It is neither of the two supported statements.
    #[error("the statement has not the form that is served")]
    UnsupportedStatement,
    /// It has no comment, or text after the comment.
    #[error("the statement does not end with its comment")]
    MissingComment,
    /// A field of the comment is not of the form `name=value`.
    #[error("the comment holds no name and value")]
    InvalidField,
    /// The comment has an undefined field.
    #[error("the comment holds a name that is not known")]
    UnknownField,
    /// The comment has a field twice.
    #[error("the comment holds a name twice")]
    DuplicateField,
    /// `id` is missing, empty, too long, or not a token.
    #[error("the comment has no id that can be used")]
    InvalidId,
    /// `c` is missing.
    #[error("the comment names no class")]
    MissingClass,
    /// `c` is not a class of the settings.
    #[error("the class is not known")]
    UnknownClass,
    /// `t` is missing, although the settings define tenants.
    #[error("the comment names no tenant")]
    MissingTenant,
    /// `t` is not a tenant of the settings.
    #[error("the tenant is not known")]
    UnknownTenant,
    /// `k` is not a token, or is missing although its class requires one.
    #[error("the comment has no idempotency key that can be used")]
    InvalidIdempotencyKey,
    /// `d` is missing.
    #[error("the comment has no deadline")]
    MissingDeadline,
    /// `d` is not a number of milliseconds below 2^32.
    #[error("the deadline is not a number of milliseconds")]
    InvalidDeadline,
}

/// The operation of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Reads a row.
    Select,
    /// Writes a row.
    Insert,
}

/// The statement of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Its operation.
    pub verb: Verb,
    /// The id that the client gave to the request.
    pub id: String,
    /// The request class.
    pub class: ClassId,
    /// The tenant, if the settings define tenants.
    pub tenant: Option<TenantId>,
    /// A hash of the handle of the row.
    pub routing_key: Option<RoutingKey>,
    /// How long the client waits for the response.
    pub timeout: Duration,
    /// The original text of the statement, shared by all attempts.
    text: Bytes,
    /// Range of the digits of the timeout in `text`.
    timeout_range: Range<usize>,
}

impl Statement {
    /// Returns the original text of the statement.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Makes `reservation` last as long as the text is held, by this statement or by an attempt.
    pub fn attach_reservation(&mut self, reservation: MemoryReservation) {
        let text = std::mem::take(&mut self.text);
        self.text = reservation.attach_to(text);
    }

    /// Returns the statement with another timeout, as it is sent to a pod. Fractions of a
    /// millisecond are dropped.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> StatementParts {
        StatementParts {
            before: self.text.slice(..self.timeout_range.start),
            timeout_ms: timeout.as_millis() as u64,
            after: self.text.slice(self.timeout_range.end..),
        }
    }
}

/// A statement with another timeout, without a copy of the original text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementParts {
    /// The text before the timeout.
    pub before: Bytes,
    /// The timeout, in milliseconds.
    pub timeout_ms: u64,
    /// The text after the timeout.
    pub after: Bytes,
}

impl fmt::Display for StatementParts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = String::from_utf8_lossy(&self.before);
        let after = String::from_utf8_lossy(&self.after);
        write!(out, "{before}{}{after}", self.timeout_ms)
    }
}

/// A class that a comment may name.
#[derive(Clone, Copy)]
struct ClassEntry {
    id: ClassId,
    needs_idempotency_key: bool,
}

/// Parses statements, using the class and tenant names of the settings.
pub struct StatementParser {
    classes: BTreeMap<String, ClassEntry>,
    tenants: BTreeMap<String, TenantId>,
}

impl StatementParser {
    /// Creates a parser for classes and tenants in the order of their numbers.
    /// `needs_idempotency_key` specifies for each class whether its statements must have a key.
    #[must_use]
    pub fn new(classes: &[String], needs_idempotency_key: &[bool], tenants: &[String]) -> Self {
        let class_entry = |index: usize| ClassEntry {
            id: ClassId(index as u16),
            needs_idempotency_key: needs_idempotency_key.get(index).copied().unwrap_or(false),
        };
        let classes = classes
            .iter()
            .enumerate()
            .map(|(index, name)| (name.clone(), class_entry(index)));
        let tenants = (0u32..)
            .zip(tenants)
            .map(|(index, name)| (name.clone(), TenantId(index)));
        Self {
            classes: classes.collect(),
            tenants: tenants.collect(),
        }
    }

    /// Parses a statement.
    ///
    /// # Errors
    /// Returns an error if the statement is not a request.
    pub fn parse(&self, text: &str) -> Result<Statement, StatementError> {
        let sql = parse_sql(text).ok_or(StatementError::UnsupportedStatement)?;
        let comment = sql
            .rest
            .strip_prefix(COMMENT_START)
            .and_then(|rest| rest.strip_suffix(COMMENT_END))
            .ok_or(StatementError::MissingComment)?;
        let offset = text.len() - comment.len() - COMMENT_END.len();
        let fields = CommentFields::parse(comment, offset)?;
        let id = fields
            .id
            .filter(|id| is_token(id))
            .ok_or(StatementError::InvalidId)?;
        let class = self.class(fields.class)?;
        let tenant = self.tenant(fields.tenant)?;
        let has_valid_key = fields
            .idempotency_key
            .map_or(!class.needs_idempotency_key, is_token);
        if !has_valid_key {
            return Err(StatementError::InvalidIdempotencyKey);
        }
        let timeout = fields.timeout.ok_or(StatementError::MissingDeadline)?;
        Ok(Statement {
            verb: sql.verb,
            id: id.to_owned(),
            class: class.id,
            tenant,
            routing_key: Some(routing_key(sql.handle)),
            timeout: parse_timeout(timeout.text)?,
            text: Bytes::copy_from_slice(text.as_bytes()),
            timeout_range: timeout.range,
        })
    }

    fn class(&self, name: Option<&str>) -> Result<ClassEntry, StatementError> {
        let name = name.ok_or(StatementError::MissingClass)?;
        let class = self.classes.get(name);
        class.copied().ok_or(StatementError::UnknownClass)
    }

    fn tenant(&self, name: Option<&str>) -> Result<Option<TenantId>, StatementError> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        let name = name.ok_or(StatementError::MissingTenant)?;
        let tenant = self.tenants.get(name);
        tenant
            .copied()
            .map(Some)
            .ok_or(StatementError::UnknownTenant)
    }
}

/// The value of `d`, and its position in the statement.
struct TimeoutField<'a> {
    text: &'a str,
    range: Range<usize>,
}

/// The fields of a comment.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    tenant: Option<&'a str>,
    idempotency_key: Option<&'a str>,
    timeout: Option<TimeoutField<'a>>,
}

impl<'a> CommentFields<'a> {
    /// Parses a comment that starts at `offset` in its statement.
    fn parse(comment: &'a str, offset: usize) -> Result<Self, StatementError> {
        let mut fields = Self::default();
        let mut pair_start = offset;
        for pair in comment.split(',') {
            let (name, value) = pair.split_once('=').ok_or(StatementError::InvalidField)?;
            let value_start = pair_start + name.len() + 1;
            pair_start += pair.len() + 1;
            let is_repeated = match name {
                "id" => fields.id.replace(value).is_some(),
                "c" => fields.class.replace(value).is_some(),
                "t" => fields.tenant.replace(value).is_some(),
                "k" => fields.idempotency_key.replace(value).is_some(),
                "d" => {
                    let range = value_start..value_start + value.len();
                    let timeout = TimeoutField { text: value, range };
                    fields.timeout.replace(timeout).is_some()
                }
                // Set if the client is repeating the request.
                "r" if value == "1" => false,
                _ => return Err(StatementError::UnknownField),
            };
            if is_repeated {
                return Err(StatementError::DuplicateField);
            }
        }
        Ok(fields)
    }
}

/// Parses a timeout. Zero is valid: such a request is accepted and immediately fails.
fn parse_timeout(text: &str) -> Result<Duration, StatementError> {
    let has_only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !has_only_digits {
        return Err(StatementError::InvalidDeadline);
    }
    let milliseconds: u32 = text.parse().map_err(|_| StatementError::InvalidDeadline)?;
    Ok(Duration::from_millis(milliseconds.into()))
}

/// The SQL of a statement, without its comment.
struct ParsedSql<'a> {
    verb: Verb,
    /// The handle of the row.
    handle: &'a str,
    /// The text that follows the SQL.
    rest: &'a str,
}

fn parse_sql(text: &str) -> Option<ParsedSql<'_>> {
    let sql = match text.strip_prefix("SELECT blob FROM rows WHERE handle = '") {
        Some(rest) => parse_select(rest)?,
        None => parse_insert(text)?,
    };
    is_token(sql.handle).then_some(sql)
}

fn parse_select(rest: &str) -> Option<ParsedSql<'_>> {
    let (handle, rest) = rest.split_once('\'')?;
    Some(ParsedSql {
        verb: Verb::Select,
        handle,
        rest,
    })
}

fn parse_insert(text: &str) -> Option<ParsedSql<'_>> {
    let rest = text.strip_prefix("INSERT INTO rows (handle, blob) VALUES ('")?;
    let (handle, rest) = rest.split_once('\'')?;
    let (value, rest) = rest.strip_prefix(", '\\x")?.split_once('\'')?;
    let rest = rest.strip_prefix(") RETURNING blob")?;
    let is_hex = value.len() % 2 == 0 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || value.len() > 2 * MAX_VALUE {
        return None;
    }
    Some(ParsedSql {
        verb: Verb::Insert,
        handle,
        rest,
    })
}

fn is_token(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    (1..=MAX_TOKEN).contains(&text.len()) && text.bytes().all(is_allowed)
}

fn routing_key(handle: &str) -> RoutingKey {
    let mut hasher = DefaultHasher::new();
    handle.hash(&mut hasher);
    RoutingKey(hasher.finish())
}
