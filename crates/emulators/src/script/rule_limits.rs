//! The limits of the rules on a day, in the format of the record.

use super::DayScript;
use limewing_rule_checker::record::{DeduplicationScope, Idempotency, RequestClass, RuleLimits};
use limewing_settings as settings;

impl DayScript {
    /// The limits of the rules on this day.
    #[must_use]
    pub fn rule_limits(&self) -> RuleLimits {
        let classes = self.classes.iter().map(|script| RequestClass {
            name: script.class.name.clone(),
            idempotency: idempotency_of(script.class.idempotency),
            latency_objective: script.class.latency_objective.into(),
            priority_weight: script.class.priority_weight,
        });
        RuleLimits {
            classes: classes.collect(),
            answer_slack: self.rules.answer_slack.into(),
            drain_grace: self.rules.drain_grace.into(),
            slow_start_from: self.rules.slow_start_from,
            slow_start_duration: self.rules.slow_start_duration.into(),
            overload_multiple: self.rules.overload_multiple,
            overload_window: self.rules.overload_window.into(),
            exposure_caps: self.releases.stages.iter().map(|stage| stage.cap).collect(),
            exposure_window: self.releases.exposure_window.into(),
            exposure_free: self.releases.exposure_free,
            exposure_per_class: self.releases.exposure_per_class,
            guarded_stages: self.releases.guarded_stages,
            sticky_keys: self.releases.sticky_keys,
        }
    }
}

fn idempotency_of(idempotency: settings::Idempotency) -> Idempotency {
    match idempotency {
        settings::Idempotency::Idempotent => Idempotency::Idempotent,
        settings::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        settings::Idempotency::Keyed {
            deduplicated_by,
            window,
        } => Idempotency::Keyed {
            deduplicated_by: match deduplicated_by {
                settings::DeduplicationScope::All => DeduplicationScope::All,
                settings::DeduplicationScope::Zone => DeduplicationScope::Zone,
                settings::DeduplicationScope::Cell => DeduplicationScope::Cell,
            },
            window: window.into(),
        },
    }
}
