//! Settings as the start terms of the decision module.

use crate::sidecar::*;
use limewing_decision::interface as words;

impl SidecarSettings {
    /// What the decision module is told at its start.
    pub fn start_terms(&self, seed: u64) -> words::SidecarConfig {
        let (limits, rules, releases) = (&self.limits, &self.rules, &self.releases);
        let zone = self
            .fleet
            .zones
            .iter()
            .position(|zone| *zone == self.fleet.zone)
            .unwrap_or(0);
        words::SidecarConfig {
            seed,
            sidecar_count: self.fleet.sidecars,
            sidecar_index: self.fleet.own_number,
            zone: words::ZoneId(zone as u16),
            classes: self.path_groups.iter().map(group).collect(),
            // Whoever hosts the module asks the list service whenever the module says so.
            watch_on_request: true,
            endpoints_pushed: false,
            endpoint_lease: None,
            cancellation: limits.may_cancel,
            hedging: limits.second_copies,
            retry_after: limits.retry_after.map(Into::into),
            max_attempts: limits.max_forwards,
            safety: words::SafetyLimits {
                drain_grace: rules.drain_grace.into(),
                slow_start_from: rules.cold_from,
                slow_start_duration: rules.cold_for.into(),
                overload_multiple: rules.fall_multiple,
                overload_window: rules.fall_within.into(),
            },
            rollout: words::RolloutConfig {
                control: match releases.control {
                    Control::Votes => words::Control::Votes,
                    Control::Clock => words::Control::Clock,
                },
                stage_shares: releases.stages.iter().map(|stage| stage.share).collect(),
                exposure_caps: releases.stages.iter().map(|stage| stage.cap).collect(),
                exposure_window: releases.cap_window.into(),
                exposure_free: releases.cap_free,
                exposure_per_class: releases.cap_by_group,
                guarded_stages: releases.guarded_stages,
                sticky_keys: releases.keys_stay,
                vote_ttl: releases.vote_life.into(),
                vote_timeout: releases.vote_answer_within.into(),
                rollback_quorum: releases.back_votes,
                hold_quorum: releases.hold_votes,
                promote_quorum: releases.on_votes,
                vote_rate_limit: releases.vote_allowance,
            },
        }
    }
}

fn group(group: &PathGroup) -> words::RequestClass {
    words::RequestClass {
        idempotency: match group.repeat {
            Repeat::Repeatable => words::Idempotency::Idempotent,
            Repeat::Mutating => words::Idempotency::NonIdempotent,
            Repeat::Tagged { reach, memory } => {
                let drops_repeats = match reach {
                    Reach::All => words::DeduplicationScope::All,
                    Reach::Zone => words::DeduplicationScope::Zone,
                    Reach::Cell => words::DeduplicationScope::Cell,
                };
                words::Idempotency::Keyed {
                    deduplicated_by: drops_repeats,
                    window: memory.into(),
                }
            }
        },
        latency_objective: group.target_latency.into(),
        client_timeout: group.client_timeout.into(),
        priority_weight: group.benefit,
        late_weight: group.late_benefit,
        streaming: group.streamed,
    }
}
