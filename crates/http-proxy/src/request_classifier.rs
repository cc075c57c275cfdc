//! Classification of requests: class by method and path; tenant, routing key and deadline by header.

use crate::http_status;
use limewing_decision::interface::{ClassId, RoutingKey, TenantId};
use limewing_net::http::RequestHead;
use limewing_settings::{ConfigError, Headers, Idempotency, Router, SidecarSettings};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::time::Duration;

/// The field that carries a request's idempotency key.
pub const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";

/// Classifies requests by the settings.
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
    /// Its requests need an idempotency key.
    keyed: bool,
    non_idempotent: bool,
}

/// What the decision engine has to know of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTraits {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if the settings name it.
    pub tenant: Option<TenantId>,
    /// The hash of its routing key.
    pub routing_key: Option<RoutingKey>,
    /// When it has to be answered at the latest, on the sidecar's monotonic clock.
    pub deadline: Duration,
    /// The hash of the idempotency key of a request that may not run twice.
    pub idempotency_hash: Option<u64>,
}

/// Why a request can't be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClassificationError {
    /// It belongs to no class.
    #[error("no path group has this method and path")]
    UnknownClass,
    /// Its class needs an idempotency key.
    #[error("this path group needs an Idempotency-Key")]
    NoIdempotencyKey,
    /// Its deadline can't be read.
    #[error("the deadline is not a number of milliseconds")]
    Deadline,
}

impl ClassificationError {
    /// The status of the response.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::UnknownClass => http_status::NOT_FOUND,
            Self::NoIdempotencyKey | Self::Deadline => http_status::BAD_REQUEST,
        }
    }
}

impl RequestClassifier {
    /// A classifier by these settings.
    ///
    /// # Errors
    /// A path pattern can't be used, or two match the same paths.
    pub fn new(settings: &SidecarSettings) -> Result<Self, ConfigError> {
        let router = Router::new(&settings.classes)?;
        let classes = settings.classes.iter().map(|class| ClassSettings {
            client_timeout: class.client_timeout.into(),
            keyed: matches!(class.idempotency, Idempotency::Keyed { .. }),
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

    /// The field that tells a pod how long its response is waited for, if the settings name one.
    #[must_use]
    pub fn deadline_field(&self) -> Option<&str> {
        self.headers.deadline_ms.as_deref()
    }

    /// Classifies a request that came at `now`.
    ///
    /// # Errors
    /// The request belongs to no class, or lacks what its class needs.
    pub fn classify(
        &self,
        head: &RequestHead,
        now: Duration,
    ) -> Result<RequestTraits, ClassificationError> {
        let index = self
            .router
            .find(&head.method, path_of(&head.target))
            .ok_or(ClassificationError::UnknownClass)?;
        let id = ClassId(index as u16);
        let class = &self.classes[usize::from(id.0)];
        let idempotency_key = head
            .fields
            .get(IDEMPOTENCY_KEY_FIELD)
            .filter(|key| !key.is_empty());
        if class.keyed && idempotency_key.is_none() {
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

/// The path of a request's target, which may be an absolute URI (RFC 9112, 3.2.2).
#[must_use]
pub fn path_of(target: &str) -> &str {
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

/// A hash that is the same at all sidecars of whatever version, as they tell each other of routing and idempotency keys.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    SipHasher13::new().hash(bytes)
}
