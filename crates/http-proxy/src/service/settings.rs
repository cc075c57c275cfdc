//! The settings of the event loop.

use limewing_decision::interface::ClassId;
use limewing_settings::{EndpointListService, RolloutService, SidecarSettings};
use std::time::Duration;

/// The settings of the event loop, derived from [`SidecarSettings`].
pub(super) struct ServiceSettings {
    /// The sidecar's name.
    pub(super) name: String,
    /// Value of the `Via` field that this sidecar adds.
    pub(super) via: String,
    /// The service that serves the endpoint list.
    pub(super) endpoint_list: EndpointListService,
    /// The rollout service, if configured.
    pub(super) rollout_service: Option<RolloutService>,
    /// Maximum time to establish a connection.
    pub(super) connect_timeout: Duration,
    /// Maximum idle time of a connection to a pod.
    pub(super) idle_timeout: Duration,
    /// Maximum size of a buffered request body, in bytes. Larger bodies are streamed.
    pub(super) max_buffered_request: usize,
    /// Maximum size of a buffered response body, in bytes. Larger bodies are streamed.
    pub(super) max_buffered_response: usize,
    /// Maximum time for which a client may leave its response unread.
    pub(super) client_stall_timeout: Duration,
    /// Maximum time to receive a request.
    pub(super) request_timeout: Duration,
    /// Maximum number of connected clients.
    pub(super) max_clients: usize,
    /// Maximum number of attempts of one request.
    pub(super) max_attempts: usize,
    /// Maximum time to wait for the reply to a vote.
    pub(super) vote_timeout: Duration,
    /// For each request class, whether responses are streamed from their first byte.
    streamed_classes: Vec<bool>,
}

impl ServiceSettings {
    /// Extracts the settings of the event loop.
    pub(super) fn new(settings: &SidecarSettings) -> Self {
        let limits = &settings.limits;
        let classes = settings.classes.iter();
        Self {
            name: settings.name.clone(),
            via: format!("1.1 {}", settings.name),
            endpoint_list: settings.endpoint_list.clone(),
            rollout_service: settings.rollout_service.clone(),
            connect_timeout: limits.connect_timeout.into(),
            idle_timeout: limits.idle_timeout.into(),
            max_buffered_request: limits.max_buffered_request,
            max_buffered_response: limits.max_buffered_response,
            client_stall_timeout: limits.client_stall_timeout.into(),
            request_timeout: limits.request_timeout.into(),
            max_clients: limits.max_clients,
            max_attempts: limits.max_attempts.into(),
            vote_timeout: settings.rollout.vote_timeout.into(),
            streamed_classes: classes.map(|class| class.streaming).collect(),
        }
    }

    /// Whether responses of a request class are streamed from their first byte.
    pub(super) fn is_streamed(&self, class: ClassId) -> bool {
        self.streamed_classes[usize::from(class.0)]
    }
}
