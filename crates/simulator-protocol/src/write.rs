//! Writing: the actions of many instances into one reply.

use limewing_decision::interface::*;
use std::io::{self, Write};

#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    records: u32,
}

fn pod(id: PodId) -> [u8; 6] {
    let b = id.0.to_le_bytes();
    [b[0], b[1], b[2], b[3], b[4], b[5]]
}

impl Reply {
    fn code(&mut self, code: u16) -> &mut Self {
        self.records += 1;
        self.put(&code.to_le_bytes())
    }

    fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.body.extend_from_slice(bytes);
        self
    }

    fn text(&mut self, code: u16, text: &str) {
        let mut end = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        self.code(code)
            .put(&(end as u16).to_le_bytes())
            .put(&text.as_bytes()[..end]);
    }

    /// The actions that follow are this instance's.
    pub fn by(&mut self, instance: u32) {
        self.code(266).put(&instance.to_le_bytes());
    }

    pub fn fault(&mut self, text: &str) {
        self.text(268, text);
    }

    pub fn act(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request: hit,
                pod: to,
                timeout: within,
            } => {
                let within = within.as_secs_f64().to_le_bytes();
                self.code(257)
                    .put(&hit.0.to_le_bytes())
                    .put(&pod(*to))
                    .put(&within);
            }
            Action::CancelAttempt {
                request: hit,
                attempt: no,
            } => {
                self.code(260)
                    .put(&hit.0.to_le_bytes())
                    .put(&no.0.to_le_bytes());
            }
            Action::Reject {
                request: hit,
                retry_after,
            } => {
                let wait = retry_after.as_secs_f64().to_le_bytes();
                self.code(265).put(&hit.0.to_le_bytes()).put(&wait);
            }
            Action::Fail { request: hit } => {
                self.code(261).put(&hit.0.to_le_bytes());
            }
            Action::Vote {
                verdict,
                build,
                stage,
            } => {
                let mark = match verdict {
                    Verdict::Abstain => 0,
                    Verdict::Promote => 1,
                    Verdict::Hold => 2,
                    Verdict::RollBack => 3,
                };
                self.code(259)
                    .put(&[mark])
                    .put(&build.0.to_le_bytes())
                    .put(&[stage.0]);
            }
            Action::WatchEndpoints => {
                self.code(263).put(&[1]);
            }
            Action::WakeAt { at } => {
                self.code(269)
                    .put(&at.as_secs_f64().to_le_bytes())
                    .put(&[0; 8]);
            }
            Action::Log(line) => self.text(258, line),
        }
    }

    /// Sends the reply to the batch with this number and starts the next one.
    pub fn send(&mut self, number: u32, out: &mut impl Write) -> io::Result<()> {
        out.write_all(&(self.body.len() as u32 + 8).to_le_bytes())?;
        out.write_all(&self.records.to_le_bytes())?;
        out.write_all(&number.to_le_bytes())?;
        out.write_all(&self.body)?;
        out.flush()?;
        self.body.clear();
        self.records = 0;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_forward_takes_the_documented_bytes() {
        let mut reply = Reply::default();
        reply.by(3);
        let to = PodId(u64::from_le_bytes([
            0x0a, 0x12, 0x4a, 0x07, 0x43, 0x1f, 0, 0,
        ]));
        let within = std::time::Duration::from_millis(80);
        reply.act(&Action::StartAttempt {
            request: RequestId(0xa7d0c5d3a91c4),
            pod: to,
            timeout: within,
        });
        let mut out = Vec::new();
        reply.send(12, &mut out).unwrap();
        assert_eq!(&out[..12], [38, 0, 0, 0, 2, 0, 0, 0, 12, 0, 0, 0]);
        assert_eq!(&out[12..18], [0x0a, 1, 3, 0, 0, 0]);
        assert_eq!(
            &out[18..34],
            b"\x01\x01\xc4\x91\x3a\x5d\x0c\x7d\x0a\x00\x0a\x12\x4a\x07\x43\x1f"
        );
        assert_eq!(&out[34..], 0.08f64.to_le_bytes());
    }
}
