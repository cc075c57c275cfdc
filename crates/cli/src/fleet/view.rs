//! Prints the fleet pages of a running sidecar.

use crate::error::CommandError;
use crate::table;
use limewing_emulators::fleet;
use limewing_http_proxy::service::{MembershipView, ReplicationView};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Page with the state that a sidecar replicates.
const REPLICATION_PAGE: &str = "/limewing/state";

/// Prints the members that a sidecar knows, and its endpoint selection.
///
/// # Errors
/// Returns an error if the sidecar does not respond or the page cannot be parsed.
pub(super) fn print_membership(sidecar: SocketAddr) -> Result<(), CommandError> {
    let page = fleet::fetch_fleet_page(sidecar)
        .map_err(|e| CommandError::Failed(format!("{sidecar}: {e}")))?;
    let view: MembershipView = parse_page(sidecar, &page)?;
    println!(
        "{} at {}, started {}, incarnation {}, slowness {} of 8",
        view.name, view.address, view.started_at_ms, view.incarnation, view.local_health
    );
    let mut rows =
        table::with_headers(&["member", "at", "standing", "start", "incarnation", "for s"]);
    for member in view.members {
        rows.add_row([
            member.name,
            member.address.to_string(),
            member.status,
            member.started_at_ms.to_string(),
            member.incarnation.to_string(),
            format!("{:.1}", member.seconds_in_status),
        ]);
    }
    println!("{rows}");
    if let Some(selection) = &view.selection {
        println!("uses {}", selection.used.join(", "));
        println!(
            "leaves to others to prove: {}",
            selection.probed_by_peers.join(", ")
        );
    }
    println!(
        "{} bytes sent; keys {:?}, {} key files could not be used",
        view.bytes_sent, view.keys, view.keys_unusable
    );
    for (cause, count) in view.rejected {
        println!("{count} datagrams refused: {cause}");
    }
    Ok(())
}

/// Prints the state that a sidecar replicates, and the progress of its copy of each peer's log.
///
/// # Errors
/// Returns an error if the sidecar does not respond or the page cannot be parsed.
pub(super) fn print_replication(sidecar: SocketAddr) -> Result<(), CommandError> {
    let page = fleet::call_sidecar(sidecar, "GET", REPLICATION_PAGE, "")
        .map_err(|e| CommandError::Failed(format!("{sidecar}: {e}")))?;
    let view: ReplicationView = parse_page(sidecar, &page)?;
    let caught_up = if view.caught_up {
        "has caught up"
    } else {
        "has NOT caught up"
    };
    println!(
        "{}, started {}: {caught_up}; {} keys that met a build, {} hits that may have run, {} bytes sent",
        view.name, view.incarnation, view.keys, view.requests, view.bytes_sent
    );
    let stage = view.stage.as_deref().unwrap_or("no stage news");
    println!("goes by {stage}");
    for stage in &view.stages {
        println!("  {stage}");
    }
    let mut rows = table::with_headers(&["of", "start", "whole up to", "live", "given up"]);
    for log in view.logs {
        rows.add_row([
            log.name,
            log.incarnation.to_string(),
            log.contiguous_through.to_string(),
            log.live_entries.to_string(),
            log.evicted_entries.to_string(),
        ]);
    }
    println!("{rows}");
    Ok(())
}

fn parse_page<T: DeserializeOwned>(sidecar: SocketAddr, page: &str) -> Result<T, CommandError> {
    serde_json::from_str(page).map_err(|e| CommandError::Failed(format!("{sidecar}: {e}")))
}
