//! Settings as the start terms of the decision module.

use crate::sidecar::*;
use limewing_decision::interface as words;

impl SidecarSettings {
    /// What the decision module is told at its start.
    pub fn start_terms(&self, seed: u64) -> words::StartTerms {
        let (limits, rules, releases) = (&self.limits, &self.rules, &self.releases);
        let zone = self
            .fleet
            .zones
            .iter()
            .position(|zone| *zone == self.fleet.zone)
            .unwrap_or(0);
        words::StartTerms {
            seed,
            sidecars: self.fleet.sidecars,
            own_number: self.fleet.own_number,
            zone: words::ZoneId(zone as u16),
            groups: self.path_groups.iter().map(group).collect(),
            // Whoever hosts the module asks the list service whenever the module says so.
            list_on_request: true,
            list_pushed: false,
            list_lease: None,
            may_cancel: limits.may_cancel,
            second_copies: limits.second_copies,
            retry_after: limits.retry_after.map(Into::into),
            max_forwards: limits.max_forwards,
            rules: words::RuleTerms {
                drain_grace: rules.drain_grace.into(),
                cold_from: rules.cold_from,
                cold_for: rules.cold_for.into(),
                fall_multiple: rules.fall_multiple,
                fall_within: rules.fall_within.into(),
            },
            release: words::ReleaseTerms {
                control: match releases.control {
                    Control::Votes => words::Control::Votes,
                    Control::Clock => words::Control::Clock,
                },
                stage_shares: releases.stages.iter().map(|stage| stage.share).collect(),
                caps: releases.stages.iter().map(|stage| stage.cap).collect(),
                cap_window: releases.cap_window.into(),
                cap_free: releases.cap_free,
                cap_by_group: releases.cap_by_group,
                guarded_stages: releases.guarded_stages,
                keys_stay: releases.keys_stay,
                vote_life: releases.vote_life.into(),
                vote_answer_within: releases.vote_answer_within.into(),
                back_votes: releases.back_votes,
                hold_votes: releases.hold_votes,
                on_votes: releases.on_votes,
                vote_allowance: releases.vote_allowance,
            },
        }
    }
}

fn group(group: &PathGroup) -> words::PathGroup {
    words::PathGroup {
        repeat: match group.repeat {
            Repeat::Repeatable => words::Repeat::Repeatable,
            Repeat::Mutating => words::Repeat::Mutating,
            Repeat::Tagged { reach, memory } => {
                let drops_repeats = match reach {
                    Reach::All => words::Reach::All,
                    Reach::Zone => words::Reach::Zone,
                    Reach::Cell => words::Reach::Cell,
                };
                words::Repeat::Tagged {
                    drops_repeats,
                    memory: memory.into(),
                }
            }
        },
        target_latency: group.target_latency.into(),
        client_timeout: group.client_timeout.into(),
        benefit: group.benefit,
        late_benefit: group.late_benefit,
        streamed: group.streamed,
    }
}
