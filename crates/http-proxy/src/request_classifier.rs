//! What a request is as a hit: its path group by method and path, customer, key and deadline by header.

use limewing_decision::interface::{ClassId, RoutingKey, TenantId};
use limewing_net::http::RequestHead;
use limewing_settings::{ConfigError, Headers, Repeat, Router, SidecarSettings};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::time::Duration;

/// The field that marks a tagged hit.
pub const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";

pub struct RequestClassifier {
    router: Router,
    groups: Vec<Group>,
    customers: BTreeMap<String, TenantId>,
    headers: Headers,
    margin: Duration,
}

struct Group {
    client_timeout: Duration,
    tagged: bool,
    mutating: bool,
}

/// A request as the decision module needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTraits {
    pub group: ClassId,
    pub customer: Option<TenantId>,
    pub key: Option<RoutingKey>,
    pub due: Duration,
    /// The hash of the tag of a hit that may not run twice.
    pub once: Option<u64>,
}

/// Why a request is no hit, and the status that says so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassificationError {
    pub status: u16,
    pub why: &'static str,
}

impl RequestClassifier {
    /// # Errors
    /// A path pattern that can't be used, or two that match the same paths.
    pub fn new(settings: &SidecarSettings) -> Result<Self, ConfigError> {
        let router = Router::new(&settings.path_groups)?;
        let groups = settings.path_groups.iter().map(|group| Group {
            client_timeout: group.client_timeout.into(),
            tagged: matches!(group.repeat, Repeat::Tagged { .. }),
            mutating: group.repeat == Repeat::Mutating,
        });
        let customers = (0u32..)
            .zip(&settings.customers)
            .map(|(n, c)| (c.name.clone(), TenantId(n)));
        Ok(Self {
            router,
            groups: groups.collect(),
            customers: customers.collect(),
            headers: settings.headers.clone(),
            margin: settings.limits.deadline_margin.into(),
        })
    }

    /// The field in which a pod is told how long its answer is waited for.
    pub fn deadline_field(&self) -> Option<&str> {
        self.headers.deadline_ms.as_deref()
    }

    /// # Errors
    /// The request belongs to no path group, or lacks what its group needs.
    pub fn classify(
        &self,
        head: &RequestHead,
        now: Duration,
    ) -> Result<RequestTraits, ClassificationError> {
        let found = self.router.find(&head.method, path_of(&head.target));
        let place = found.ok_or(ClassificationError {
            status: 404,
            why: "no path group has this method and path",
        })?;
        let group = ClassId(place as u16);
        let of = &self.groups[usize::from(group.0)];
        if of.tagged
            && head
                .fields
                .get(IDEMPOTENCY_KEY_FIELD)
                .is_none_or(<[u8]>::is_empty)
        {
            return Err(ClassificationError {
                status: 400,
                why: "this path group needs an Idempotency-Key",
            });
        }
        let told = match named(head, &self.headers.deadline_ms) {
            None => of.client_timeout,
            Some(text) => {
                let ms = text.trim().parse::<u32>();
                ms.map(|ms| Duration::from_millis(ms.into()))
                    .map_err(|_| ClassificationError {
                        status: 400,
                        why: "the deadline is not a number of milliseconds",
                    })?
            }
        };
        let waits = told.min(of.client_timeout).saturating_sub(self.margin);
        let tag = head
            .fields
            .get(IDEMPOTENCY_KEY_FIELD)
            .filter(|tag| of.mutating && !tag.is_empty())
            .map(stable_hash);
        let customer = named(head, &self.headers.customer)
            .and_then(|name| self.customers.get(name))
            .copied();
        let key = named(head, &self.headers.key).map(key_of);
        Ok(RequestTraits {
            group,
            customer,
            key,
            due: now + waits,
            once: tag,
        })
    }
}

/// The path of a request's target, which may be a whole URI (RFC 9112, 3.2.2).
pub fn path_of(target: &str) -> &str {
    let after = target
        .split_once("://")
        .filter(|_| !target.starts_with('/'))
        .map(|(_, after)| after);
    let path = after.map_or(target, |after| {
        after.find('/').map_or("/", |slash| &after[slash..])
    });
    path.split(['?', '#']).next().unwrap_or_default()
}

fn named<'a>(head: &'a RequestHead, name: &'a Option<String>) -> Option<&'a str> {
    head.fields.text(name.as_deref()?)
}

/// The same at all sidecars, of whatever version: they tell each other of keys and tags.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    SipHasher13::new().hash(bytes)
}

fn key_of(text: &str) -> RoutingKey {
    RoutingKey(stable_hash(text.as_bytes()))
}
