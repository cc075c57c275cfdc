//! The settings as the event loop uses them.

use limewing_decision::interface::ClassId;
use limewing_settings::{EndpointListService, RolloutService, SidecarSettings};
use std::time::Duration;

/// The settings as the event loop uses them.
pub(super) struct ServiceSettings {
    /// The sidecar's name.
    pub(super) name: String,
    /// What `Via` says of this sidecar.
    pub(super) via: String,
    /// The service that serves the endpoint list.
    pub(super) endpoint_list: EndpointListService,
    /// The rollout service.
    pub(super) rollout_service: Option<RolloutService>,
    /// How long a connection may take to be established.
    pub(super) connect_timeout: Duration,
    /// How long a connection to a pod may be idle.
    pub(super) idle_timeout: Duration,
    /// Bound of a request's body that is buffered, in bytes; a larger one is streamed.
    pub(super) max_buffered_request: usize,
    /// Bound of a response's body that is buffered, in bytes; a larger one is streamed.
    pub(super) max_buffered_response: usize,
    /// How long a client may leave its response unread.
    pub(super) client_stall_timeout: Duration,
    /// How long a request may take to arrive.
    pub(super) request_timeout: Duration,
    /// Bound of connected clients.
    pub(super) max_clients: usize,
    /// Bound of the attempts of one request.
    pub(super) max_attempts: usize,
    /// How long the reply to a vote is waited for.
    pub(super) vote_timeout: Duration,
    /// By class, whether responses are streamed from their first byte.
    streamed_classes: Vec<bool>,
}

impl ServiceSettings {
    /// The event loop's part of the settings.
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

    /// Whether responses to requests of a class are streamed from their first byte.
    pub(super) fn is_streamed(&self, class: ClassId) -> bool {
        self.streamed_classes[usize::from(class.0)]
    }
}
