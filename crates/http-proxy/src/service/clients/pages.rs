//! This sidecar's own pages: operational state, maintenance requests and reports of wrong answers.

use crate::http_status;
use crate::request_classifier::target_path;
use crate::service::peers::MaintenanceResponse;
use crate::service::Service;
use limewing_net::http::RequestHead;
use limewing_net::sockets::SocketId;

/// Path for client reports of wrong answers.
const REPORTS_PATH: &str = "/limewing/reports";
const STATUS_PATH: &str = "/limewing/status";
const MEMBERSHIP_PATH: &str = "/limewing/fleet";
const MAINTENANCE_PATH: &str = "/limewing/work";
const REPLICATION_PATH: &str = "/limewing/state";

const JSON_TYPE: (&str, &str) = ("content-type", "application/json");

/// Response bodies for pages whose feature is not configured.
const NO_MEMBERSHIP: &[u8] = b"this sidecar knows of no others: no peers in its settings\n";
const NO_REPLICATION: &[u8] =
    b"nothing is kept for others here: no `peers.replicas` in its settings\n";
const NO_MAINTENANCE: &[u8] = b"no machine goes out for work here: no `work` in its settings\n";

impl Service {
    /// Serves a request for one of this sidecar's own pages. Returns `false` for any other request.
    pub(super) fn serve_own_page(&mut self, id: SocketId, head: &RequestHead, body: &[u8]) -> bool {
        match (head.method.as_str(), target_path(&head.target)) {
            ("POST", REPORTS_PATH) => self.handle_wrong_answer_report(id, body),
            ("GET", STATUS_PATH) => self.serve_status(id),
            ("GET", MEMBERSHIP_PATH) => self.serve_membership(id),
            ("GET", REPLICATION_PATH) => {
                let page = self.peers.replication_page();
                self.serve_page(id, page, NO_REPLICATION);
            }
            ("GET", MAINTENANCE_PATH) => self.serve_maintenance(id),
            ("POST", MAINTENANCE_PATH) => self.handle_maintenance_request(id, body),
            _ => return false,
        }
        true
    }

    fn serve_page(&mut self, id: SocketId, page: Option<Vec<u8>>, otherwise: &[u8]) {
        match page {
            Some(body) => self.respond(id, http_status::OK, &[JSON_TYPE], &body),
            None => self.respond(id, http_status::NOT_FOUND, &[], otherwise),
        }
    }

    fn serve_membership(&mut self, id: SocketId) {
        let directory = &self.endpoints.directory;
        let page = self
            .peers
            .membership_page(self.now, |pod| directory.address(pod));
        self.serve_page(id, page, NO_MEMBERSHIP);
    }

    fn serve_maintenance(&mut self, id: SocketId) {
        let page = self.peers.maintenance_page(self.now);
        self.serve_page(id, page, NO_MAINTENANCE);
    }

    fn handle_maintenance_request(&mut self, id: SocketId, body: &[u8]) {
        let endpoints = &self.endpoints.listed;
        let response = self
            .peers
            .handle_maintenance_request(self.now, body, endpoints);
        match response {
            MaintenanceResponse::NotConfigured => self.serve_maintenance(id),
            MaintenanceResponse::Accepted { list } => {
                let text = serde_json::json!({ "list": list }).to_string();
                self.respond(id, http_status::ACCEPTED, &[JSON_TYPE], text.as_bytes());
            }
            MaintenanceResponse::Rejected(error) => {
                let text = format!("{error}\n");
                self.respond(id, http_status::BAD_REQUEST, &[], text.as_bytes());
            }
        }
    }

    fn serve_status(&mut self, id: SocketId) {
        let status = serde_json::json!({
            "name": self.settings.name,
            "open_hits": self.requests.len(),
            "clients": self.clients.connected,
            "sockets": self.sockets.open_count(),
            "pods": self.endpoints.endpoint_count(),
            "list_index": self.endpoint_watch.index(),
            "list_watched": self.endpoint_watch.is_connected(),
            "hits": self.requests.total_accepted(),
            "unsent": self.sockets.total_unsent_bytes(),
        });
        self.respond(
            id,
            http_status::OK,
            &[JSON_TYPE],
            status.to_string().as_bytes(),
        );
    }
}
