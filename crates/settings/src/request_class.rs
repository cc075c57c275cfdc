//! Request classes: the requests in each of them, and how these are served.

use crate::seconds::Seconds;
use crate::validation::{is_fraction, Validator};
use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeSet;

/// The maximum number of request classes of one sidecar.
const MAX_CLASSES: usize = 1024;

/// A class of requests that are served in the same way.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct PathGroup")]
#[schemars(rename = "PathGroup", description = "")]
pub struct RequestClass {
    /// The name of the class in logs and on status pages.
    #[schemars(description = "")]
    pub name: String,
    /// The methods and paths of its requests.
    #[schemars(description = "")]
    pub routes: Vec<Route>,
    /// Whether a request may be retried.
    #[serde(rename = "repeat")]
    #[schemars(description = "")]
    pub idempotency: Idempotency,
    /// A response within this time earns the full priority weight.
    #[serde(rename = "target_latency")]
    #[schemars(description = "")]
    pub latency_objective: Seconds,
    /// The timeout of a client that sends no deadline.
    #[schemars(description = "")]
    pub client_timeout: Seconds,
    /// The weight of a response relative to other classes when load is shed.
    #[serde(rename = "benefit")]
    #[schemars(description = "")]
    pub priority_weight: f64,
    /// Fraction of the benefit that a response earns after the target latency.
    #[serde(default, rename = "late_benefit")]
    pub late_weight: f64,
    /// Whether responses are streamed from their first byte.
    #[serde(default, rename = "streamed")]
    #[schemars(description = "")]
    pub streaming: bool,
}

/// A method and a path pattern: `/tanks/{id}`, `/files/{*rest}`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method, case-insensitive.
    #[schemars(description = "")]
    pub method: String,
    /// The path pattern.
    #[schemars(description = "")]
    pub path: String,
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(
    rename_all = "snake_case",
    deny_unknown_fields,
    expecting = "struct variant Repeat::Tagged"
)]
#[schemars(rename = "Repeat", description = "")]
pub enum Idempotency {
    /// May be executed more than once.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Carries an `Idempotency-Key`; the pods within `reach` discard a duplicate for as long as they remember the key.
    #[serde(rename = "tagged")]
    Keyed {
        /// Which pods know the keys that one of them has served.
        #[serde(rename = "reach")]
        #[schemars(description = "")]
        deduplicated_by: DeduplicationScope,
        /// How long pods remember a key.
        #[serde(rename = "memory")]
        #[schemars(description = "")]
        window: Seconds,
    },
    /// Must not be executed more than once.
    #[serde(rename = "mutating")]
    NonIdempotent,
}

/// Which pods know the idempotency keys that one of them has served.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// All pods.
    All,
    /// The pods of the same zone.
    Zone,
    /// The pods of the same cell.
    Cell,
}

/// Implemented by hand: the schema derived for documented variants is a list of constants, whereas the published schema is
/// an `enum`.
impl JsonSchema for DeduplicationScope {
    fn schema_name() -> Cow<'static, str> {
        "Reach".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({"type": "string", "enum": ["all", "zone", "cell"]})
    }
}

pub(crate) fn validate_all(classes: &[RequestClass], validator: &mut Validator) {
    validator.require(
        !classes.is_empty(),
        "/path_groups",
        "at least one path group",
    );
    validator.require(
        classes.len() <= MAX_CLASSES,
        "/path_groups",
        "at most 1024 path groups",
    );
    let mut names = BTreeSet::new();
    for (index, class) in classes.iter().enumerate() {
        let path = format!("/path_groups/{index}");
        validator.require(
            names.insert(&class.name),
            format!("{path}/name"),
            "a name that no other path group has",
        );
        class.validate(&path, validator);
    }
}

impl RequestClass {
    fn validate(&self, path: &str, validator: &mut Validator) {
        validator.require(
            !self.routes.is_empty(),
            format!("{path}/routes"),
            "at least one route",
        );
        validator.require(
            self.latency_objective.value() > 0.0,
            format!("{path}/target_latency"),
            "more than 0 seconds",
        );
        validator.require(
            self.client_timeout >= self.latency_objective,
            format!("{path}/client_timeout"),
            "no less than the target latency",
        );
        validator.require(
            self.priority_weight.is_finite() && self.priority_weight > 0.0,
            format!("{path}/benefit"),
            "more than 0",
        );
        validator.require(
            is_fraction(self.late_weight),
            format!("{path}/late_benefit"),
            "a part from 0 to 1",
        );
        for (index, route) in self.routes.iter().enumerate() {
            validator.require(
                route.path.starts_with('/'),
                format!("{path}/routes/{index}/path"),
                "a path that begins with /",
            );
        }
    }
}
