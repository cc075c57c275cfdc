//! Client reports of wrong answers; the attempt token identifies the pod that sent the response.

use crate::http_status;
use crate::service::attempt_token::AttemptId;
use crate::service::Service;
use limewing_decision::interface::{ClassId, Event, PodId};
use limewing_net::sockets::SocketId;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Maximum number of remembered responses. Those of the oldest requests are evicted first.
const MAX_RESPONSE_ORIGINS: usize = 50_000;

/// The pod and request class of a response.
#[derive(Clone, Copy, Debug)]
struct ResponseOrigin {
    pod: PodId,
    class: ClassId,
}

/// Origins of recent responses.
#[derive(Default)]
pub(super) struct ResponseOrigins {
    by_attempt: BTreeMap<AttemptId, ResponseOrigin>,
}

impl ResponseOrigins {
    fn record(&mut self, attempt: AttemptId, origin: ResponseOrigin) {
        self.by_attempt.insert(attempt, origin);
        if self.by_attempt.len() > MAX_RESPONSE_ORIGINS {
            self.by_attempt.pop_first();
        }
    }
}

#[derive(Deserialize)]
struct WrongAnswerReport {
    /// The attempt's token.
    #[serde(rename = "forward")]
    token: String,
}

impl Service {
    /// Records the pod that an attempt's response came from.
    pub(super) fn record_response_origin(&mut self, attempt: AttemptId) {
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let Some(sent) = request.attempts.get(usize::from(attempt.index.0)) else {
            return;
        };
        let origin = ResponseOrigin {
            pod: sent.pod,
            class: request.protocol_state.class,
        };
        self.clients.response_origins.record(attempt, origin);
    }

    /// Reports a wrong answer to the decision engine. Each response can be reported once.
    pub(super) fn handle_wrong_answer_report(&mut self, id: SocketId, body: &[u8]) {
        let Ok(report) = serde_json::from_slice::<WrongAnswerReport>(body) else {
            return self.respond(
                id,
                http_status::BAD_REQUEST,
                &[],
                b"expected {\"forward\": mark}\n",
            );
        };
        let origin = self
            .upstream
            .tokens
            .decode(&report.token)
            .and_then(|attempt| {
                let origins = &mut self.clients.response_origins;
                origins.by_attempt.remove(&attempt)
            });
        let Some(origin) = origin else {
            return self.respond(id, http_status::NOT_FOUND, &[], b"no such forward\n");
        };
        self.events.push(Event::Flagged {
            pod: origin.pod,
            class: origin.class,
        });
        self.respond(id, http_status::ACCEPTED, &[], b"");
    }
}
