//! Reading: one frame into records.

use crate::LARGEST_FRAME;
use limewing_decision::interface::*;
use std::fmt;
use std::io::{ErrorKind, Read};
use std::time::Duration;

/// What makes a frame unusable, and where in it.
#[derive(Debug, PartialEq)]
pub struct Trouble {
    pub what: String,
    pub at: usize,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {} of the frame", self.what, self.at)
    }
}

#[derive(Debug)]
pub struct Batch {
    pub now: Duration,
    pub number: u32,
    pub records: Vec<Record>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListHow {
    Change,
    Whole,
    Remembered,
    Failed,
}

#[derive(Debug)]
pub enum Record {
    SwitchTo(u32),
    Inventory {
        table: u16,
        rows: Vec<Endpoint>,
    },
    PowerOn {
        seed: u64,
        options: Vec<u8>,
        at: usize,
    },
    Halt,
    BackendsChanged {
        how: ListHow,
        table: u16,
        at: usize,
    },
    Plain(Event),
    /// Of no use to the module: timers (being called is all), check results, tallies, messages from peers.
    Unused,
}

struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

type Got<T> = Result<T, Trouble>;

impl<'a> Cursor<'a> {
    fn trouble<T>(&self, what: impl Into<String>) -> Got<T> {
        Err(Trouble {
            what: what.into(),
            at: self.at,
        })
    }
    fn take(&mut self, n: usize) -> Got<&'a [u8]> {
        let end = self
            .at
            .checked_add(n)
            .filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return self.trouble("record is cut short");
        };
        let part = &self.bytes[self.at..end];
        self.at = end;
        Ok(part)
    }
    fn fixed<const N: usize>(&mut self) -> Got<[u8; N]> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Got<u8> {
        Ok(self.fixed::<1>()?[0])
    }
    fn u16(&mut self) -> Got<u16> {
        Ok(u16::from_le_bytes(self.fixed()?))
    }
    fn u32(&mut self) -> Got<u32> {
        Ok(u32::from_le_bytes(self.fixed()?))
    }
    fn u64(&mut self) -> Got<u64> {
        Ok(u64::from_le_bytes(self.fixed()?))
    }
    fn f32(&mut self) -> Got<f32> {
        Ok(f32::from_le_bytes(self.fixed()?))
    }
    /// A time or span in seconds; the simulator counts in microseconds.
    fn span(&mut self) -> Got<Duration> {
        let seconds = f64::from_le_bytes(self.fixed()?);
        if !seconds.is_finite() || !(-1e9..1e9).contains(&seconds) {
            return self.trouble(format!("time {seconds} is out of range"));
        }
        Ok(Duration::from_micros(
            (seconds.max(0.0) * 1e6).round() as u64
        ))
    }
    fn pod(&mut self) -> Got<PodId> {
        let b = self.fixed::<6>()?;
        Ok(PodId(u64::from_le_bytes([
            b[0], b[1], b[2], b[3], b[4], b[5], 0, 0,
        ])))
    }
    /// Load reports are not used.
    fn skip_report(&mut self) -> Got<()> {
        let n = usize::from(self.u8()?);
        self.take(4 * n).map(drop)
    }
    fn fate(&mut self) -> Got<AttemptOutcome> {
        Ok(match self.u16()? {
            0 => AttemptOutcome::Succeeded,
            13 => AttemptOutcome::Failed,
            8 => AttemptOutcome::Rejected,
            4 => AttemptOutcome::TimedOut,
            14 => AttemptOutcome::ConnectFailed,
            10 => AttemptOutcome::ConnectionReset,
            1 => AttemptOutcome::Cancelled,
            9 => AttemptOutcome::NeverSent,
            other => return self.trouble(format!("unknown result {other}")),
        })
    }
    fn entry(&mut self) -> Got<Endpoint> {
        let kind = MachineTypeId(self.u8()?.into());
        let state = match self.u8()? {
            0 => PodState::Gone,
            1 => PodState::Ready,
            2 => PodState::Draining,
            other => return self.trouble(format!("unknown pod status {other}")),
        };
        let build = BuildId(self.f32()? as u16);
        let size = f64::from(self.f32()?);
        let started = Some(self.span()?).filter(|s| !s.is_zero());
        let cell = CellId(self.u16()?);
        let pod = self.pod()?;
        let zone = ZoneId(self.u16()?);
        Ok(Endpoint {
            pod,
            state,
            build,
            weight: size,
            started_at: started,
            zone,
            cell,
            machine_type: kind,
        })
    }
    fn hit(&mut self) -> Got<Event> {
        let id = RequestId(self.u64()?);
        let group = ClassId(self.u16()?);
        let customer = Some(TenantId(self.u32()?));
        let key = Some(self.u64()?).filter(|k| *k != 0).map(RoutingKey);
        let due = self.span()?;
        let (_work_hint, _marks) = (self.take(8)?, self.u8()?);
        Ok(Event::RequestArrived(Request {
            id,
            class: group,
            tenant: customer,
            routing_key: key,
            deadline: due,
        }))
    }
    fn stage(&mut self) -> Got<Event> {
        let cap = f64::from(self.f32()?);
        let phase = match self.u8()? {
            0 => Phase::OnTrial,
            1 => Phase::RollingBack,
            2 => Phase::Released,
            3 => Phase::RolledBack,
            other => return self.trouble(format!("unknown course {other}")),
        };
        let build = BuildId(self.u16()?);
        let age = self.span()?;
        let stage = StageIndex(self.u8()?);
        let answer = match self.u16()? {
            0 => VoteAnswer::Counted,
            9 => VoteAnswer::Moot,
            8 => VoteAnswer::Full,
            13 => VoteAnswer::Failed,
            4 => VoteAnswer::Unanswered,
            other => return self.trouble(format!("unknown vote result {other}")),
        };
        let asked = self.u8()? != 0;
        let news = (answer == VoteAnswer::Counted).then_some(StageUpdate {
            build,
            stage,
            phase,
            cap,
            age,
        });
        Ok(Event::Stage {
            update: news,
            vote_answer: asked.then_some(answer),
        })
    }
    fn record(&mut self) -> Got<Record> {
        let at = self.at;
        Ok(match self.u16()? {
            256 => {
                self.u64()?;
                Record::Unused
            }
            257 => {
                let (_pod, _fate, _took) = (self.pod()?, self.fate()?, self.span()?);
                self.skip_report()?;
                Record::Unused
            }
            258 => Record::Plain(self.stage()?),
            259 => {
                let how = match self.u8()? {
                    0 => ListHow::Change,
                    1 => ListHow::Whole,
                    2 => ListHow::Remembered,
                    3 => ListHow::Failed,
                    other => return self.trouble(format!("unknown list news {other}")),
                };
                let _version = self.u32()?;
                Record::BackendsChanged {
                    how,
                    table: self.u16()?,
                    at,
                }
            }
            260 => {
                let (pod, group) = (self.pod()?, ClassId(self.u16()?));
                let _age = self.span()?;
                Record::Plain(Event::Flagged { pod, class: group })
            }
            261 => {
                let _sender = self.u32()?;
                let n = self.u16()?;
                self.take(n.into())?;
                Record::Unused
            }
            262 => {
                let hit = RequestId(self.u64()?);
                let pod = self.pod()?;
                let over = self.u8()? != 0;
                let took = self.span()?;
                let fate = self.fate()?;
                let no = AttemptIndex(self.u16()?);
                self.skip_report()?;
                Record::Plain(Event::AttemptFinished(AttemptResult {
                    request: hit,
                    attempt: no,
                    pod,
                    outcome: fate,
                    duration: took,
                    request_over: over,
                }))
            }
            263 => Record::SwitchTo(self.u32()?),
            264 => {
                let (_age, _build, _mean) = (self.span()?, self.u16()?, self.span()?);
                let (_forwards, _group, _failed) = (self.u32()?, self.u16()?, self.u32()?);
                Record::Unused
            }
            265 => {
                let table = self.u16()?;
                let n = self.u32()?;
                let rows = (0..n).map(|_| self.entry()).collect::<Got<_>>()?;
                Record::Inventory { table, rows }
            }
            266 => Record::Plain(Event::ClientDisconnected(RequestId(self.u64()?))),
            267 => {
                let hit = RequestId(self.u64()?);
                self.take(2 + 6 + 8)?;
                Record::Plain(Event::StreamStarted { request: hit })
            }
            268 => Record::Halt,
            269 => Record::Plain(self.hit()?),
            270 => {
                let seed = self.u64()?;
                let n = self.u32()?;
                Record::PowerOn {
                    seed,
                    options: self.take(n as usize)?.to_vec(),
                    at,
                }
            }
            other => {
                self.at = at;
                return self.trouble(format!("unknown record code {other}"));
            }
        })
    }
}

/// Reads the next batch; nothing at a clean end of the input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, Trouble> {
    let mut head = [0u8; 4];
    let mut have = 0;
    while have < head.len() {
        match input.read(&mut head[have..]) {
            Ok(0) if have == 0 => return Ok(None),
            Ok(0) => {
                return Err(Trouble {
                    what: "input ends inside a frame".into(),
                    at: have,
                })
            }
            Ok(n) => have += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => {
                return Err(Trouble {
                    what: format!("input cannot be read ({e})"),
                    at: have,
                })
            }
        }
    }
    let length = u32::from_le_bytes(head);
    if length > LARGEST_FRAME {
        return Err(Trouble {
            what: format!("frame of {length} bytes is too large"),
            at: 0,
        });
    }
    let mut body = Vec::new();
    match input.take(length.into()).read_to_end(&mut body) {
        Ok(n) if n as u32 == length => {}
        Ok(n) => {
            return Err(Trouble {
                what: "input ends inside a frame".into(),
                at: 4 + n,
            })
        }
        Err(e) => {
            return Err(Trouble {
                what: format!("input cannot be read ({e})"),
                at: 4,
            })
        }
    }
    read_body(&body)
        .map_err(|t| Trouble { at: t.at + 4, ..t })
        .map(Some)
}

fn read_body(body: &[u8]) -> Got<Batch> {
    let mut cursor = Cursor { bytes: body, at: 0 };
    let now = cursor.span()?;
    let count = cursor.u32()?;
    let number = cursor.u32()?;
    let mut records = Vec::new();
    for _ in 0..count {
        records.push(cursor.record()?);
    }
    if cursor.at != body.len() {
        return cursor.trouble("bytes are left after the last record");
    }
    Ok(Batch {
        now,
        number,
        records,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn hex(text: &str) -> Vec<u8> {
        let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
        digits
            .chunks(2)
            .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
            .collect()
    }

    const TWO: &str = "59000000 508d976e12d32040 05000000 0c000000 0701 03000000
        0d01 c4913a5d0c7d0a00 0000 00000000 640ad2557c3bf091 cba145b6f34d2140 fa7e6abc7493883f 01
        0001 4d00000000000000 0701 05000000 0a01 192b6f0edd440400";

    #[test]
    fn a_batch_for_two_instances_is_read() {
        let batch = read_batch(&mut &hex(TWO)[..]).unwrap().unwrap();
        assert_eq!(batch.number, 12);
        assert!(matches!(batch.records[0], Record::SwitchTo(3)));
        let Record::Plain(Event::RequestArrived(hit)) = &batch.records[1] else {
            panic!("a hit")
        };
        assert_eq!(
            (hit.class, hit.id),
            (ClassId(0), RequestId(0xa7d0c5d3a91c4))
        );
        assert!(matches!(
            batch.records[4],
            Record::Plain(Event::ClientDisconnected(_))
        ));
    }

    #[rstest]
    #[case::cut("10000000 508d976e12d32040", "input ends inside a frame")]
    #[case::short(
        "12000000 508d976e12d32040 01000000 01000000 0701",
        "record is cut short"
    )]
    #[case::unknown(
        "12000000 508d976e12d32040 01000000 01000000 ffff",
        "unknown record code 65535"
    )]
    #[case::rest("11000000 508d976e12d32040 00000000 01000000 00", "bytes are left")]
    #[case::large("ffffffff", "too large")]
    #[case::rows(
        "18000000 508d976e12d32040 01000000 01000000 0901 0000 ffffffff",
        "record is cut short"
    )]
    fn a_bad_frame_is_told_plainly(#[case] frame: &str, #[case] what: &str) {
        let trouble = read_batch(&mut &hex(frame)[..]).unwrap_err();
        assert!(trouble.what.contains(what), "{trouble}");
    }

    #[test]
    fn the_end_between_frames_is_clean() {
        assert!(read_batch(&mut &[][..]).unwrap().is_none());
    }
}
