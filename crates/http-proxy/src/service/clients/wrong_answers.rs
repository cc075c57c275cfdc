//! Reports of wrong answers: which pod a response came from, by its attempt's token.

use crate::http_status;
use crate::service::attempt_token::AttemptId;
use crate::service::Service;
use limewing_decision::interface::{ClassId, Event, PodId};
use limewing_net::sockets::SocketId;
use serde::Deserialize;
use std::collections::BTreeMap;

/// How many responses are remembered; the oldest requests are forgotten first.
const MAX_ORIGINS: usize = 50_000;

/// Where a response came from.
#[derive(Clone, Copy, Debug)]
struct ResponseOrigin {
    pod: PodId,
    class: ClassId,
}

/// Where recent responses came from.
#[derive(Default)]
pub(super) struct ResponseOrigins {
    by_attempt: BTreeMap<AttemptId, ResponseOrigin>,
}

impl ResponseOrigins {
    fn record(&mut self, attempt: AttemptId, origin: ResponseOrigin) {
        self.by_attempt.insert(attempt, origin);
        if self.by_attempt.len() > MAX_ORIGINS {
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
    /// Remembers the pod that an attempt's response came from.
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

    /// Tells the decisions of a wrong answer; each response can be reported once.
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
