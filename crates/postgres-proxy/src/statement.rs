//! The one form of statement that is a request, and its comment. What has another form goes to no pod.

use limewing_decision::interface::{ClassId, RoutingKey, TenantId};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;

/// Bound of a row's value, in bytes.
const MAX_VALUE: usize = 64 * 1024;
/// Bytes of a statement beside the value.
const MAX_OVERHEAD: usize = 4 * 1024;
/// Bound of a statement, in bytes: a value in hexadecimal digits, and the words round it.
pub const MAX_STATEMENT: usize = 2 * MAX_VALUE + MAX_OVERHEAD;
/// Bound of an id, an idempotency key or a row's handle, in bytes.
const MAX_TOKEN: usize = 64;
/// What the comment begins and ends with.
const COMMENT_START: &str = " /* ";
const COMMENT_END: &str = " */";

/// Why a statement is no request; the client gets this text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// Its words are others than those of the two forms.
    #[error("the statement has not the form that is served")]
    Form,
    /// It has no comment, or more behind it.
    #[error("the statement does not end with its comment")]
    NoComment,
    /// A part of the comment is no `name=value`.
    #[error("the comment holds no name and value")]
    NoNameAndValue,
    /// The comment has a field that is not defined.
    #[error("the comment holds a name that is not known")]
    UnknownName,
    /// The comment has a field twice.
    #[error("the comment holds a name twice")]
    RepeatedName,
    /// `id` is missing, empty, too long, or no token.
    #[error("the comment has no id that can be used")]
    Id,
    /// `c` is missing.
    #[error("the comment names no class")]
    NoClass,
    /// `c` is no class of the settings.
    #[error("the class is not known")]
    UnknownClass,
    /// `t` is missing, and the settings have tenants.
    #[error("the comment names no tenant")]
    NoTenant,
    /// `t` is no tenant of the settings.
    #[error("the tenant is not known")]
    UnknownTenant,
    /// `k` is no token, or is missing where its class needs one.
    #[error("the comment has no idempotency key that can be used")]
    IdempotencyKey,
    /// `d` is missing.
    #[error("the comment has no deadline")]
    NoDeadline,
    /// `d` is no number of milliseconds below 2^32.
    #[error("the deadline is not a number of milliseconds")]
    Deadline,
}

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Reads a row.
    Select,
    /// Writes a row.
    Insert,
}

/// A request's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// What it does.
    pub verb: Verb,
    /// The request's id, as its client names it.
    pub id: String,
    /// The class that it names.
    pub class: ClassId,
    /// The tenant that it names, if the settings have tenants.
    pub tenant: Option<TenantId>,
    /// A hash of the row's handle.
    pub routing_key: Option<RoutingKey>,
    /// How long its client waits for the answer.
    pub timeout: Duration,
    /// The statement as it came.
    pub text: String,
    /// Where in `text` the timeout's digits stand.
    timeout_range: Range<usize>,
}

impl Statement {
    /// The statement with another timeout, as a pod gets it. Fractions of a millisecond are left out.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> String {
        let mut digits = itoa::Buffer::new();
        let digits = digits.format(timeout.as_millis() as u64);
        let before = &self.text[..self.timeout_range.start];
        let after = &self.text[self.timeout_range.end..];
        [before, digits, after].concat()
    }
}

/// A class as a comment names it.
#[derive(Clone, Copy)]
struct ClassEntry {
    id: ClassId,
    needs_idempotency_key: bool,
}

/// Parses statements by the names of the settings.
pub struct StatementParser {
    classes: BTreeMap<String, ClassEntry>,
    tenants: BTreeMap<String, TenantId>,
}

impl StatementParser {
    /// A parser for classes and tenants in the order of their numbers. `needs_idempotency_key` says for each class
    /// whether its statements have to have a key.
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
    /// Why it is no request.
    pub fn parse(&self, text: &str) -> Result<Statement, StatementError> {
        let words = parse_words(text).ok_or(StatementError::Form)?;
        let comment = words
            .rest
            .strip_prefix(COMMENT_START)
            .and_then(|rest| rest.strip_suffix(COMMENT_END))
            .ok_or(StatementError::NoComment)?;
        let offset = text.len() - comment.len() - COMMENT_END.len();
        let fields = CommentFields::parse(comment, offset)?;
        let id = fields
            .id
            .filter(|id| is_token(id))
            .ok_or(StatementError::Id)?;
        let class = self.class(fields.class)?;
        let tenant = self.tenant(fields.tenant)?;
        let has_valid_key = fields
            .idempotency_key
            .map_or(!class.needs_idempotency_key, is_token);
        if !has_valid_key {
            return Err(StatementError::IdempotencyKey);
        }
        let timeout = fields.timeout.ok_or(StatementError::NoDeadline)?;
        Ok(Statement {
            verb: words.verb,
            id: id.to_owned(),
            class: class.id,
            tenant,
            routing_key: Some(routing_key(words.handle)),
            timeout: parse_timeout(timeout.text)?,
            text: text.to_owned(),
            timeout_range: timeout.range,
        })
    }

    fn class(&self, name: Option<&str>) -> Result<ClassEntry, StatementError> {
        let name = name.ok_or(StatementError::NoClass)?;
        let class = self.classes.get(name);
        class.copied().ok_or(StatementError::UnknownClass)
    }

    fn tenant(&self, name: Option<&str>) -> Result<Option<TenantId>, StatementError> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        let name = name.ok_or(StatementError::NoTenant)?;
        let tenant = self.tenants.get(name);
        tenant
            .copied()
            .map(Some)
            .ok_or(StatementError::UnknownTenant)
    }
}

/// The value of `d`, and where it stands in the statement.
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
    /// Parses a comment that begins at `offset` of its statement.
    fn parse(comment: &'a str, offset: usize) -> Result<Self, StatementError> {
        let mut fields = Self::default();
        let mut pair_start = offset;
        for pair in comment.split(',') {
            let (name, value) = pair.split_once('=').ok_or(StatementError::NoNameAndValue)?;
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
                // A mark that the client repeats the request.
                "r" if value == "1" => false,
                _ => return Err(StatementError::UnknownName),
            };
            if is_repeated {
                return Err(StatementError::RepeatedName);
            }
        }
        Ok(fields)
    }
}

/// No time left is a timeout too: such a request is taken, and given up at once.
fn parse_timeout(text: &str) -> Result<Duration, StatementError> {
    let has_only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !has_only_digits {
        return Err(StatementError::Deadline);
    }
    let milliseconds: u32 = text.parse().map_err(|_| StatementError::Deadline)?;
    Ok(Duration::from_millis(milliseconds.into()))
}

/// A statement's words before its comment.
struct Words<'a> {
    verb: Verb,
    /// The row's handle.
    handle: &'a str,
    /// What follows the words.
    rest: &'a str,
}

fn parse_words(text: &str) -> Option<Words<'_>> {
    let words = match text.strip_prefix("SELECT blob FROM rows WHERE handle = '") {
        Some(rest) => parse_select(rest)?,
        None => parse_insert(text)?,
    };
    is_token(words.handle).then_some(words)
}

fn parse_select(rest: &str) -> Option<Words<'_>> {
    let (handle, rest) = rest.split_once('\'')?;
    Some(Words {
        verb: Verb::Select,
        handle,
        rest,
    })
}

fn parse_insert(text: &str) -> Option<Words<'_>> {
    let rest = text.strip_prefix("INSERT INTO rows (handle, blob) VALUES ('")?;
    let (handle, rest) = rest.split_once('\'')?;
    let (value, rest) = rest.strip_prefix(", '\\x")?.split_once('\'')?;
    let rest = rest.strip_prefix(") RETURNING blob")?;
    let is_hex = value.len() % 2 == 0 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || value.len() > 2 * MAX_VALUE {
        return None;
    }
    Some(Words {
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
