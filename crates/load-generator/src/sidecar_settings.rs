//! Settings of a sidecar under load, with a fixed set of pods.

use crate::error::LoadError;
use limewing_http_proxy::endpoint_list::EndpointRecord;
use limewing_http_proxy::endpoint_list_file;
use limewing_settings::SidecarSettings;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;

/// Number of pods per cell.
const PODS_PER_CELL: usize = 4;
/// Capacity of each pod, in cores.
const POD_WEIGHT: f64 = 4.0;

/// Writes the settings and the state file of a sidecar with these pods to `folder`, and returns the path of the settings. The
/// sidecar has neither an endpoint list nor a rollout service.
///
/// # Errors
/// Returns an error if a file cannot be written.
pub fn write_sidecar_settings(folder: &Path, pods: &[SocketAddr]) -> Result<String, LoadError> {
    let state_file = folder.join(format!("load-{}.state.json", pods.len()));
    let endpoints: Vec<EndpointRecord> = pods.iter().enumerate().map(endpoint).collect();
    endpoint_list_file::save(&state_file, &endpoints)?;
    // Validates the settings here, so that an error in them is reported by this package and not by the sidecar.
    let settings: SidecarSettings = serde_json::from_value(settings(&state_file))?;
    let file = folder.join(format!("load-{}.json", pods.len()));
    std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
    Ok(file.display().to_string())
}

fn endpoint((index, address): (usize, &SocketAddr)) -> EndpointRecord {
    EndpointRecord {
        machine: address.to_string(),
        address: *address,
        draining: false,
        build: 1,
        weight: POD_WEIGHT,
        started: None,
        zone: "east".into(),
        cell: (index / PODS_PER_CELL) as u16,
        machine_type: "plain".into(),
    }
}

fn settings(state_file: &Path) -> Value {
    json!({
        "name": "sidecar-0", "listen": "127.0.0.1:0", "state_file": state_file, "seed": 1,
        "list": {"address": "127.0.0.1:1", "service": "none"},
        "fleet": {"sidecars": 3, "own_number": 0, "zones": ["east"], "zone": "east"},
        "headers": {},
        "path_groups": [{"name": "quote", "routes": [{"method": "GET", "path": "/quotes/{id}"}],
            "repeat": "repeatable", "target_latency": 1, "client_timeout": 3, "benefit": 1}],
        "limits": {"max_forwards": 6, "second_copies": true, "may_cancel": true, "connect_timeout": 0.25,
            "idle_close": 15, "deadline_margin": 0.02},
        "rules": {"answer_slack": 0.02, "drain_grace": 1, "cold_from": 0.35, "cold_for": 3, "fall_multiple": 2,
            "fall_within": 3},
        "releases": {"control": "clock", "stages": [{"share": 1, "cap": 1}], "cap_window": 2, "cap_free": 1,
            "step_after": 4, "vote_life": 4, "vote_answer_within": 1, "back_votes": 1}
    })
}
