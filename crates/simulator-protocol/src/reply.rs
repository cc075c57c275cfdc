//! Encodes an output frame: the actions of any number of instances.

use limewing_decision::interface::{Action, PodId, Verdict};
use std::io::{self, Write};

/// Record codes; each record starts with its code.
mod code {
    pub(super) const START_ATTEMPT: u16 = 257;
    pub(super) const LOG: u16 = 258;
    pub(super) const VOTE: u16 = 259;
    pub(super) const CANCEL_ATTEMPT: u16 = 260;
    pub(super) const FAIL: u16 = 261;
    pub(super) const WATCH_ENDPOINTS: u16 = 263;
    pub(super) const REJECT: u16 = 265;
    pub(super) const SELECT_INSTANCE: u16 = 266;
    pub(super) const FAULT: u16 = 268;
    pub(super) const WAKE_AT: u16 = 269;
}

/// The size of a frame's record count and sequence number, in bytes.
const HEADER_BYTES: u32 = 8;
/// The code of the only kind of endpoint watch.
const WATCH_ALL: u8 = 1;
/// The token of a timer. The wake record returns it, but it is not used.
const TIMER_TOKEN: [u8; 8] = [0; 8];

/// The records of the reply to one batch.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    record_count: u32,
}

impl Reply {
    /// Selects the instance that the following actions belong to.
    pub fn select_instance(&mut self, instance: u32) {
        self.begin_record(code::SELECT_INSTANCE);
        self.put(&instance.to_le_bytes());
    }

    /// Adds a fault of the selected instance.
    pub fn push_fault(&mut self, text: &str) {
        self.push_text(code::FAULT, text);
    }

    /// Adds an action of the selected instance.
    pub fn push_action(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                pod,
                timeout,
            } => {
                self.begin_record(code::START_ATTEMPT);
                self.put(&request.0.to_le_bytes());
                self.put(&pod_bytes(*pod));
                self.put(&timeout.as_secs_f64().to_le_bytes());
            }
            Action::CancelAttempt { request, attempt } => {
                self.begin_record(code::CANCEL_ATTEMPT);
                self.put(&request.0.to_le_bytes());
                self.put(&attempt.0.to_le_bytes());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.begin_record(code::REJECT);
                self.put(&request.0.to_le_bytes());
                self.put(&retry_after.as_secs_f64().to_le_bytes());
            }
            Action::Fail { request } => {
                self.begin_record(code::FAIL);
                self.put(&request.0.to_le_bytes());
            }
            Action::Vote {
                verdict,
                build,
                stage,
            } => {
                self.begin_record(code::VOTE);
                self.put(&[verdict_code(*verdict)]);
                self.put(&build.0.to_le_bytes());
                self.put(&[stage.0]);
            }
            Action::WatchEndpoints => {
                self.begin_record(code::WATCH_ENDPOINTS);
                self.put(&[WATCH_ALL]);
            }
            Action::WakeAt { at } => {
                self.begin_record(code::WAKE_AT);
                self.put(&at.as_secs_f64().to_le_bytes());
                self.put(&TIMER_TOKEN);
            }
            Action::Log(line) => self.push_text(code::LOG, line),
        }
    }

    /// Writes the reply to the batch with this sequence number, then clears it for the next batch.
    ///
    /// # Errors
    /// The output can't be written. The reply is not cleared.
    pub fn write_to(&mut self, number: u32, output: &mut impl Write) -> io::Result<()> {
        let length = self.body.len() as u32 + HEADER_BYTES;
        output.write_all(&length.to_le_bytes())?;
        output.write_all(&self.record_count.to_le_bytes())?;
        output.write_all(&number.to_le_bytes())?;
        output.write_all(&self.body)?;
        output.flush()?;
        self.body.clear();
        self.record_count = 0;
        Ok(())
    }

    fn begin_record(&mut self, code: u16) {
        self.record_count += 1;
        self.put(&code.to_le_bytes());
    }

    fn put(&mut self, bytes: &[u8]) {
        self.body.extend_from_slice(bytes);
    }

    /// Adds a record with a text and its length; a text that is too long is truncated at a character boundary.
    fn push_text(&mut self, code: u16, text: &str) {
        let mut end = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        self.begin_record(code);
        self.put(&(end as u16).to_le_bytes());
        self.put(&text.as_bytes()[..end]);
    }
}

/// A pod id in six bytes.
fn pod_bytes(pod: PodId) -> [u8; 6] {
    let [a, b, c, d, e, f, _, _] = pod.0.to_le_bytes();
    [a, b, c, d, e, f]
}

fn verdict_code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Abstain => 0,
        Verdict::Promote => 1,
        Verdict::Hold => 2,
        Verdict::RollBack => 3,
    }
}
