//! Maps a method and path to a request class.

use crate::error::ConfigError;
use crate::request_class::RequestClass;
use std::collections::BTreeMap;

/// The routes of all request classes, by method.
#[derive(Default)]
pub struct Router(BTreeMap<String, matchit::Router<usize>>);

impl Router {
    /// Creates a router with the routes of these classes.
    ///
    /// # Errors
    /// A pattern is invalid or conflicts with another one.
    pub fn new(classes: &[RequestClass]) -> Result<Self, ConfigError> {
        let mut router = Self::default();
        for (class_index, class) in classes.iter().enumerate() {
            for (route_index, route) in class.routes.iter().enumerate() {
                let method = route.method.to_ascii_uppercase();
                let paths = router.0.entry(method).or_default();
                paths
                    .insert(route.path.as_str(), class_index)
                    .map_err(|e| {
                        ConfigError::new(
                            format!("/path_groups/{class_index}/routes/{route_index}/path"),
                            format!(
                                "expected a pattern that is valid and conflicts with no other: {e}"
                            ),
                        )
                    })?;
            }
        }
        Ok(router)
    }

    /// The index of a request's class; `None` if no route matches.
    #[must_use]
    pub fn find(&self, method: &str, path: &str) -> Option<usize> {
        let matched = self.0.get(method)?.at(path).ok()?;
        Some(*matched.value)
    }
}
