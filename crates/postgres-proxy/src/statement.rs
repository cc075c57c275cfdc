//! The one form of statement that a hit has, and its comment. What has another form goes to no pod.

use limewing_decision::interface::{ClassId, RoutingKey, TenantId};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::Duration;

/// The most that a value may have, in bytes.
const MOST_VALUE: usize = 64 * 1024;
/// A statement is no longer than this: a value in hexadecimal digits, and the words round it.
pub const LONGEST: usize = 2 * MOST_VALUE + 4 * 1024;
const LONGEST_ID: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Select,
    Insert,
}

/// A hit's statement as it came, and where in it the time that its client waits is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub verb: Verb,
    pub id: String,
    pub group: ClassId,
    pub customer: Option<TenantId>,
    pub key: Option<RoutingKey>,
    pub waits: Duration,
    pub text: String,
    waits_at: Range<usize>,
}

impl Statement {
    /// The statement with another time to wait, as a pod is to have it.
    pub fn waiting(&self, left: Duration) -> String {
        let mut digits = itoa::Buffer::new();
        let told = digits.format(left.as_millis() as u64);
        let (before, after) = (
            &self.text[..self.waits_at.start],
            &self.text[self.waits_at.end..],
        );
        [before, told, after].concat()
    }
}

/// The names that a comment may hold, in the order of the module's numbers.
pub struct Names {
    groups: BTreeMap<String, (ClassId, bool)>,
    customers: BTreeMap<String, TenantId>,
}

impl Names {
    /// `tagged`: which groups need a mark against repeats.
    pub fn new(groups: &[String], tagged: &[bool], customers: &[String]) -> Self {
        let of = |n: usize| (ClassId(n as u16), tagged.get(n).copied().unwrap_or(false));
        let groups = groups
            .iter()
            .enumerate()
            .map(|(n, name)| (name.clone(), of(n)));
        let customers = (0u32..)
            .zip(customers)
            .map(|(n, name)| (name.clone(), TenantId(n)));
        Self {
            groups: groups.collect(),
            customers: customers.collect(),
        }
    }

    /// # Errors
    /// Why it is no hit.
    pub fn read(&self, text: &str) -> Result<Statement, &'static str> {
        let (verb, key, rest) =
            words(text).ok_or("the statement has not the form that is served")?;
        let comment = rest
            .strip_prefix(" /* ")
            .and_then(|rest| rest.strip_suffix(" */"));
        let comment = comment.ok_or("the statement does not end with its comment")?;
        let at = text.len() - comment.len() - " */".len();
        let (mut id, mut group, mut customer, mut tag, mut waits) = (None, None, None, None, None);
        let mut from = at;
        for pair in comment.split(',') {
            let (name, value) = pair
                .split_once('=')
                .ok_or("the comment holds no name and value")?;
            let value_at = from + name.len() + 1;
            from += pair.len() + 1;
            let twice = match name {
                "id" => id.replace(value).is_some(),
                "c" => group.replace(value).is_some(),
                "t" => customer.replace(value).is_some(),
                "k" => tag.replace(value).is_some(),
                "d" => waits
                    .replace((value, value_at..value_at + value.len()))
                    .is_some(),
                "r" if value == "1" => false,
                _ => return Err("the comment holds a name that is not known"),
            };
            if twice {
                return Err("the comment holds a name twice");
            }
        }
        let id = id
            .filter(|id| is_token(id))
            .ok_or("the comment has no id that can be used")?;
        let group = group.ok_or("the comment names no class")?;
        let (group, tagged) = *self.groups.get(group).ok_or("the class is not known")?;
        let customer = match customer {
            None if self.customers.is_empty() => None,
            None => return Err("the comment names no tenant"),
            Some(_) if self.customers.is_empty() => None,
            Some(name) => Some(*self.customers.get(name).ok_or("the tenant is not known")?),
        };
        if tag.map_or(tagged, |tag| !is_token(tag)) {
            return Err("the comment has no idempotency key that can be used");
        }
        let (told, waits_at) = waits.ok_or("the comment has no deadline")?;
        let digits = !told.is_empty() && told.bytes().all(|b| b.is_ascii_digit());
        // None left is a time too: such a hit is taken, and given up at once.
        let ms = told.parse::<u32>().ok().filter(|_| digits);
        let ms = ms.ok_or("the deadline is not a number of milliseconds")?;
        let waits = Duration::from_millis(ms.into());
        let (id, text) = (id.to_owned(), text.to_owned());
        Ok(Statement {
            verb,
            id,
            group,
            customer,
            key: Some(key_of(key)),
            waits,
            text,
            waits_at,
        })
    }
}

/// The statement's words before its comment: verb, the row's handle, and what follows.
fn words(text: &str) -> Option<(Verb, &str, &str)> {
    if let Some(rest) = text.strip_prefix("SELECT blob FROM rows WHERE handle = '") {
        let (handle, rest) = rest.split_once('\'')?;
        return is_token(handle).then_some((Verb::Select, handle, rest));
    }
    let rest = text.strip_prefix("INSERT INTO rows (handle, blob) VALUES ('")?;
    let (handle, rest) = rest.split_once('\'')?;
    let (value, rest) = rest.strip_prefix(", '\\x")?.split_once('\'')?;
    let rest = rest.strip_prefix(") RETURNING blob")?;
    let hex = value.len() % 2 == 0 && value.bytes().all(|b| b.is_ascii_hexdigit());
    (is_token(handle) && hex && value.len() <= 2 * MOST_VALUE).then_some((
        Verb::Insert,
        handle,
        rest,
    ))
}

fn is_token(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    (1..=LONGEST_ID).contains(&text.len()) && text.bytes().all(plain)
}

fn key_of(handle: &str) -> RoutingKey {
    let mut hasher = DefaultHasher::new();
    handle.hash(&mut hasher);
    RoutingKey(hasher.finish())
}
