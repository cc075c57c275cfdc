//! What no sidecar alone can keep, counted from the record: routing keys that went back to an older build at another sidecar, or at a
//! later life of one, and hits that may not run twice and did, through whichever sidecars.

use crate::record::{Event, FinalAnswer, Idempotency, Phase, RecordLine, RuleLimits, SidecarId};
use std::collections::BTreeMap;
use std::time::Duration;

/// What one sidecar knows another is told within this.
const TELLS_WITHIN: Duration = Duration::from_millis(300);

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Across {
    /// Forwards of keys that had met a newer build anywhere, and those of them that went to an older one.
    pub keys: usize,
    pub keys_back: usize,
    /// Hits that may not run twice and had an effect, and those that had more than one.
    pub once: usize,
    pub twice: usize,
    /// The first of each.
    pub first: Vec<(Duration, String)>,
}

pub fn across(lines: &[RecordLine]) -> Option<Across> {
    let terms: &RuleLimits = lines.iter().find_map(|line| match &line.event {
        Event::Begin { limits: terms, .. } => Some(terms),
        _ => None,
    })?;
    let mut found = Across::default();
    let (mut keys, mut groups, mut builds) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    // By key: the newest build that answered it, and when it first did.
    let mut met: BTreeMap<u64, (u16, Duration)> = BTreeMap::new();
    let mut news: BTreeMap<SidecarId, (u16, Phase)> = BTreeMap::new();
    let mut effects: BTreeMap<_, usize> = BTreeMap::new();
    for line in lines {
        let at = line.at;
        match &line.event {
            Event::PodStarted { pod, build, .. } => drop(builds.insert(*pod, *build)),
            Event::SidecarStarted { sidecar } => drop(news.remove(sidecar)),
            Event::StageNotified {
                sidecar,
                build,
                phase,
                ..
            } => drop(news.insert(*sidecar, (*build, *phase))),
            Event::RequestSent {
                attempt: of,
                class: group,
                routing_key: key,
                ..
            } => {
                groups.insert(*of, *group);
                keys.extend(key.map(|key| (*of, key)));
            }
            Event::Answered {
                attempt: of,
                answer: FinalAnswer::Delivered,
                build: Some(build),
                ..
            } => {
                if let Some(key) = keys.get(of) {
                    let word = met.entry(*key).or_insert((*build, at));
                    if word.0 < *build {
                        *word = (*build, at);
                    }
                }
            }
            Event::ForwardArrived {
                pod,
                sidecar,
                attempt: of,
                ..
            } if terms.sticky_keys => {
                let (Some(build), Some(key)) = (builds.get(pod), keys.get(of)) else {
                    continue;
                };
                let told = news.get(sidecar);
                let stays = told.is_some_and(|(newest, phase)| {
                    build < newest && matches!(phase, Phase::OnTrial | Phase::Released)
                });
                let Some((newest, since)) = met.get(key).filter(|_| stays || told.is_some()) else {
                    continue;
                };
                if at < *since + TELLS_WITHIN {
                    continue;
                }
                found.keys += 1;
                if stays && newest > build {
                    found.keys_back += 1;
                    if found.keys_back == 1 {
                        let met = since.as_secs_f64();
                        let text = format!(
                            "{sidecar} sent key {key} to build {build}, which had met {newest} at {met:.3} s"
                        );
                        found.first.push((at, text));
                    }
                }
            }
            Event::Executed {
                attempt: of,
                effect: true,
                ..
            } => {
                let mutating = groups.get(of).is_some_and(|group| {
                    terms.classes[*group].idempotency == Idempotency::NonIdempotent
                });
                if mutating {
                    let many = effects.entry(of.request).or_insert(0);
                    *many += 1;
                    found.once += usize::from(*many == 1);
                    found.twice += usize::from(*many == 2);
                    if *many == 2 && found.twice == 1 {
                        found
                            .first
                            .push((at, format!("{} had an effect twice", of.request)));
                    }
                }
            }
            _ => {}
        }
    }
    Some(found)
}
