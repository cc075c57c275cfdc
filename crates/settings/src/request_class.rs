//! Request classes: which requests they hold, and how these are served.

use crate::seconds::Seconds;
use crate::validation::{is_fraction, Validator};
use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeSet;

/// The most request classes of one sidecar.
const MAX_CLASSES: usize = 1024;

/// Requests that are served alike.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct PathGroup")]
#[schemars(rename = "PathGroup", description = "")]
pub struct RequestClass {
    /// Its name in records and on pages.
    #[schemars(description = "")]
    pub name: String,
    /// The methods and paths of its requests.
    #[schemars(description = "")]
    pub routes: Vec<Route>,
    /// Whether a request may be sent again.
    #[serde(rename = "repeat")]
    #[schemars(description = "")]
    pub idempotency: Idempotency,
    /// An answer within this earns the full priority weight.
    #[serde(rename = "target_latency")]
    #[schemars(description = "")]
    pub latency_objective: Seconds,
    /// How long a client waits that names no deadline.
    #[schemars(description = "")]
    pub client_timeout: Seconds,
    /// What an answer is worth against those of other classes when load is shed.
    #[serde(rename = "benefit")]
    #[schemars(description = "")]
    pub priority_weight: f64,
    /// The part of the benefit that an answer earns after the target latency.
    #[serde(default, rename = "late_benefit")]
    pub late_weight: f64,
    /// Whether answers are streamed from their first byte.
    #[serde(default, rename = "streamed")]
    #[schemars(description = "")]
    pub streaming: bool,
}

/// A method and a path pattern: `/tanks/{id}`, `/files/{*rest}`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method; case is ignored.
    #[schemars(description = "")]
    pub method: String,
    /// The path pattern.
    #[schemars(description = "")]
    pub path: String,
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(
    rename_all = "snake_case",
    deny_unknown_fields,
    expecting = "struct variant Repeat::Tagged"
)]
#[schemars(rename = "Repeat", description = "")]
pub enum Idempotency {
    /// May run again.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Carries an `Idempotency-Key`; the pods within reach drop a repeat for as long as they remember.
    #[serde(rename = "tagged")]
    Keyed {
        /// Which pods know of a key that one of them has served.
        #[serde(rename = "reach")]
        #[schemars(description = "")]
        deduplicated_by: DeduplicationScope,
        /// How long a key is remembered.
        #[serde(rename = "memory")]
        #[schemars(description = "")]
        window: Seconds,
    },
    /// Must never run twice.
    #[serde(rename = "mutating")]
    NonIdempotent,
}

/// Which pods know of an idempotency key that one of them has served.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// All pods.
    All,
    /// The pods of its zone.
    Zone,
    /// The pods of its cell.
    Cell,
}

/// Written by hand: the derived schema of documented variants is a list of constants, and the published one an `enum`.
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
        "one path group at least",
    );
    validator.require(
        classes.len() <= MAX_CLASSES,
        "/path_groups",
        "1024 path groups at most",
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
            "one route at least",
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
