//! Request classification: the class by method and path; tenant, routing key and deadline by header fields.

use crate::http_status;
use limewing_decision::interface::{ClassId, RoutingKey, TenantId};
use limewing_net::http::RequestHead;
use limewing_settings::{ConfigError, Headers, Idempotency, Router, SidecarSettings};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::time::Duration;

/// The header field that carries the idempotency key of a request.
pub const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";

/// Classifies requests according to the settings.
pub struct RequestClassifier {
    router: Router,
    classes: Vec<ClassSettings>,
    tenants: BTreeMap<String, TenantId>,
    headers: Headers,
    deadline_margin: Duration,
}

#[derive(Debug)]
struct ClassSettings {
    client_timeout: Duration,
    /// Whether requests of this class are rejected if they lack an idempotency key.
    requires_idempotency_key: bool,
    non_idempotent: bool,
}

/// The properties of a request that the decision engine needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTraits {
    /// The request class.
    pub class: ClassId,
    /// The tenant, if the settings name it.
    pub tenant: Option<TenantId>,
    /// The hash of the routing key.
    pub routing_key: Option<RoutingKey>,
    /// The time by which the response is due, on the sidecar's monotonic clock.
    pub deadline: Duration,
    /// The hash of the idempotency key, if the request must not run twice.
    pub idempotency_hash: Option<u64>,
}

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClassificationError {
    /// No class has the method and path of the request.
    #[error("no path group has this method and path")]
    UnknownClass,
    /// The request class requires an idempotency key.
    #[error("this path group needs an Idempotency-Key")]
    NoIdempotencyKey,
    /// The deadline field is not a number of milliseconds.
    #[error("the deadline is not a number of milliseconds")]
    Deadline,
}

impl ClassificationError {
    /// Returns the status code of the response.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::UnknownClass => http_status::NOT_FOUND,
            Self::NoIdempotencyKey | Self::Deadline => http_status::BAD_REQUEST,
        }
    }
}

impl RequestClassifier {
    /// Creates a classifier from the settings.
    ///
    /// # Errors
    /// Fails if a path pattern is invalid, or if two patterns match the same paths.
    pub fn new(settings: &SidecarSettings) -> Result<Self, ConfigError> {
        let router = Router::new(&settings.classes)?;
        let classes = settings.classes.iter().map(|class| ClassSettings {
            client_timeout: class.client_timeout.into(),
            requires_idempotency_key: matches!(class.idempotency, Idempotency::Keyed { .. }),
            non_idempotent: class.idempotency == Idempotency::NonIdempotent,
        });
        let tenants = (0u32..)
            .zip(&settings.tenants)
            .map(|(number, tenant)| (tenant.name.clone(), TenantId(number)));
        Ok(Self {
            router,
            classes: classes.collect(),
            tenants: tenants.collect(),
            headers: settings.headers.clone(),
            deadline_margin: settings.limits.deadline_margin.into(),
        })
    }

    /// Returns the header field that states how long the sender of a request waits for the response, if the settings name
    /// one. Clients and the sidecar both set it.
    #[must_use]
    pub fn deadline_field(&self) -> Option<&str> {
        self.headers.deadline_ms.as_deref()
    }

    /// Classifies a request that arrived at `now`.
    ///
    /// # Errors
    /// Fails if no class matches the request, if the request lacks a required idempotency key, or if its deadline is
    /// malformed.
    pub fn classify(
        &self,
        head: &RequestHead,
        now: Duration,
    ) -> Result<RequestTraits, ClassificationError> {
        let index = self
            .router
            .find(&head.method, target_path(&head.target))
            .ok_or(ClassificationError::UnknownClass)?;
        let id = ClassId(index as u16);
        let class = &self.classes[usize::from(id.0)];
        let idempotency_key = head
            .fields
            .get(IDEMPOTENCY_KEY_FIELD)
            .filter(|key| !key.is_empty());
        if class.requires_idempotency_key && idempotency_key.is_none() {
            return Err(ClassificationError::NoIdempotencyKey);
        }
        let timeout = self.timeout(head, class)?;
        let idempotency_hash = idempotency_key
            .filter(|_| class.non_idempotent)
            .map(stable_hash);
        let tenant = field_text(head, self.headers.tenant.as_deref())
            .and_then(|name| self.tenants.get(name));
        let routing_key = field_text(head, self.headers.routing_key.as_deref())
            .map(|key| RoutingKey(stable_hash(key.as_bytes())));
        Ok(RequestTraits {
            class: id,
            tenant: tenant.copied(),
            routing_key,
            deadline: now + timeout,
            idempotency_hash,
        })
    }

    fn timeout(
        &self,
        head: &RequestHead,
        class: &ClassSettings,
    ) -> Result<Duration, ClassificationError> {
        let requested = match field_text(head, self.headers.deadline_ms.as_deref()) {
            None => class.client_timeout,
            Some(text) => {
                let millis: u32 = text
                    .trim()
                    .parse()
                    .map_err(|_| ClassificationError::Deadline)?;
                Duration::from_millis(millis.into())
            }
        };
        let timeout = requested.min(class.client_timeout);
        Ok(timeout.saturating_sub(self.deadline_margin))
    }
}

/// Returns the path of a request target, which may be an absolute URI (RFC 9112, section 3.2.2).
#[must_use]
pub fn target_path(target: &str) -> &str {
    let path = match target.split_once("://") {
        Some((_, authority)) if !target.starts_with('/') => match authority.find('/') {
            Some(slash) => &authority[slash..],
            None => "/",
        },
        _ => target,
    };
    path.split(['?', '#']).next().unwrap_or_default()
}

fn field_text<'a>(head: &'a RequestHead, name: Option<&'a str>) -> Option<&'a str> {
    head.fields.text(name?)
}

/// Hashes a routing or idempotency key. The hash must be the same in all versions, because sidecars exchange it.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    SipHasher13::new().hash(bytes)
}
