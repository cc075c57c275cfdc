//! Socket tests of a sidecar with scripted pods, list service and rollout service.

mod attempt_outcomes;
mod canary;
mod client_connections;
mod draining;
mod endpoint_watch;
mod request_bodies;
mod resource_limits;
mod retries;
mod sticky_keys;
mod streamed_responses;
mod support;
mod unaccepting_pod;
mod wrong_answer_reports;
