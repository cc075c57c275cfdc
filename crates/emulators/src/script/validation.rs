//! Checks of a day's file beyond its schema. Users see the paths and texts.

use super::{BuildFault, DayFault, DayScript, MaintenanceScript, FIRST_BUILD};
use limewing_settings::{ConfigError, ValidateConfig};

/// The rounding error allowed in the sum of shares.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

/// The allowed numbers of voters.
const VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];

#[derive(Default)]
struct Errors(Vec<ConfigError>);

impl Errors {
    fn expect(&mut self, valid: bool, path: impl Into<String>, expected: &str) {
        if !valid {
            let error = ConfigError::new(path.into(), format!("expected {expected}"));
            self.0.push(error);
        }
    }

    fn expect_fraction(&mut self, value: f64, path: impl Into<String>) {
        self.expect((0.0..=1.0).contains(&value), path, "a fraction from 0 to 1");
    }
}

impl ValidateConfig for DayScript {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut errors = Errors::default();
        self.check_fleet(&mut errors);
        self.check_sidecars(&mut errors);
        self.check_peers(&mut errors);
        if let Some(maintenance) = &self.maintenance {
            self.check_maintenance(maintenance, &mut errors);
        }
        self.check_classes(&mut errors);
        self.check_clients(&mut errors);
        self.check_offers(&mut errors);
        for (index, scheduled) in self.faults.iter().enumerate() {
            self.check_fault(&scheduled.fault, index, &mut errors);
        }
        errors.0
    }
}

impl DayScript {
    fn check_fleet(&self, errors: &mut Errors) {
        errors.expect(
            (0.0..=100_000.0).contains(&self.requests_per_second),
            "/hits_per_s",
            "0 to 100000 requests per second",
        );
        let fleet = &self.fleet;
        errors.expect(!fleet.zones.is_empty(), "/fleet/zones", "at least one zone");
        let pods = (1..=1000).contains(&fleet.pods);
        errors.expect(pods, "/fleet/pods", "1 to 1000 pods");
        let cores = (1..=1000).contains(&fleet.cores);
        errors.expect(cores, "/fleet/cores", "1 to 1000 cores");
        errors.expect(fleet.pods_per_cell >= 1, "/fleet/cell", "1 pod or more");
    }

    fn check_sidecars(&self, errors: &mut Errors) {
        let count = (1..=64).contains(&self.sidecar_zones.len());
        errors.expect(count, "/sidecars", "1 to 64 sidecars");
        for (index, zone) in self.sidecar_zones.iter().enumerate() {
            let known = self.fleet.zones.contains(zone);
            errors.expect(known, format!("/sidecars/{index}"), "one of /fleet/zones");
        }
        let shares = &self.traffic_shares;
        let valid = shares.is_empty()
            || (shares.len() == self.sidecar_zones.len()
                && shares.iter().all(|part| (0.0..=1e6).contains(part))
                && shares.iter().sum::<f64>() > 0.0);
        errors.expect(
            valid,
            "/traffic",
            "a share from 0 for each sidecar, at least one of them above 0",
        );
    }

    fn check_peers(&self, errors: &mut Errors) {
        let Some(peers) = &self.peers else {
            return;
        };
        for error in peers.faults.config_errors() {
            errors.expect(
                false,
                format!("/peers/faults{}", error.path),
                error.expected,
            );
        }
    }

    fn check_maintenance(&self, maintenance: &MaintenanceScript, errors: &mut Errors) {
        errors.expect(self.peers.is_some(), "/work", "`peers` in the same file");
        let sidecars = self.sidecar_zones.len();
        let voters = maintenance.voters;
        errors.expect(
            VOTER_COUNTS.contains(&voters) && voters <= sidecars,
            "/work/voters",
            "1, 3, 5 or 7, but not more than there are sidecars",
        );
        let folders = maintenance
            .possible_voters
            .is_none_or(|count| (voters..=sidecars).contains(&count));
        errors.expect(
            folders,
            "/work/folders",
            "a number from that of voters to that of sidecars",
        );
        errors.expect(
            (1..=16).contains(&maintenance.pods_per_machine),
            "/work/pods_a_machine",
            "1 to 16 pods",
        );
    }

    fn check_classes(&self, errors: &mut Errors) {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        errors.expect(sums_to_one(shares), "/groups", "shares that sum to 1");
        for (index, script) in self.classes.iter().enumerate() {
            errors.expect_fraction(script.share, format!("/groups/{index}/share"));
            errors.expect(
                script.class.routes.len() == 1,
                format!("/groups/{index}/group/routes"),
                "exactly one route, which the clients use",
            );
        }
        let shares: f64 = self.tenants.iter().map(|tenant| tenant.share).sum();
        let valid = self.tenants.is_empty() || sums_to_one(shares);
        errors.expect(valid, "/customers", "shares that sum to 1");
    }

    fn check_clients(&self, errors: &mut Errors) {
        let clients = &self.clients;
        errors.expect_fraction(clients.min_timeout_part, "/clients/patience_from");
        errors.expect_fraction(clients.reported_part, "/clients/reports");
        errors.expect_fraction(clients.slow_sender_part, "/clients/slow");
        errors.expect_fraction(clients.disconnecting_part, "/clients/leaves");
    }

    fn check_offers(&self, errors: &mut Errors) {
        let increasing = self
            .offers
            .windows(2)
            .all(|pair| pair[0].build < pair[1].build && pair[0].at < pair[1].at);
        errors.expect(
            increasing,
            "/offers",
            "builds and times in increasing order",
        );
        let newer = self
            .offers
            .first()
            .is_none_or(|offer| offer.build > FIRST_BUILD);
        errors.expect(
            newer,
            "/offers/0/build",
            "a build above 1, which is the build at the start",
        );
        for (index, offer) in self.offers.iter().enumerate() {
            let factor = offer.slowdown.is_finite() && offer.slowdown > 0.0;
            errors.expect(factor, format!("/offers/{index}/slow"), "a factor above 0");
            for (number, fault) in offer.faults.iter().enumerate() {
                self.check_build_fault(fault, &format!("/offers/{index}/faults/{number}"), errors);
            }
        }
    }

    fn check_build_fault(&self, fault: &BuildFault, path: &str, errors: &mut Errors) {
        match fault {
            BuildFault::Errors { share, class, .. } => {
                errors.expect_fraction(*share, format!("{path}/errors/share"));
                let known =
                    |name: &String| self.classes.iter().any(|script| script.class.name == *name);
                errors.expect(
                    class.as_ref().is_none_or(known),
                    format!("{path}/errors/group"),
                    "the name of a request class",
                );
            }
            BuildFault::WrongAnswers { share } => {
                errors.expect_fraction(*share, format!("{path}/wrong/share"));
            }
        }
    }

    fn check_fault(&self, fault: &DayFault, index: usize, errors: &mut Errors) {
        let path = format!("/troubles/{index}/what");
        match fault {
            DayFault::PodsKilled(slots)
            | DayFault::PodsSilent(slots)
            | DayFault::PodsHung(slots)
            | DayFault::PodsCloseConnections(slots)
            | DayFault::PodsSlow { slots, .. }
            | DayFault::TruncatedAnswers { slots, .. } => {
                let known = slots.iter().all(|slot| *slot < self.fleet.pods);
                errors.expect(known, path, "slots below /fleet/pods");
            }
            DayFault::ZonePartitioned(zone) => {
                let known = self.fleet.zones.contains(zone);
                errors.expect(known, path, "one of /fleet/zones");
            }
            DayFault::SidecarKilled(number)
            | DayFault::SidecarTerminated(number)
            | DayFault::SidecarSuspended(number) => {
                let known = *number < self.sidecar_zones.len();
                errors.expect(known, path, "an index into /sidecars");
            }
            DayFault::Overload(factor) => {
                let valid = (0.0..=1000.0).contains(factor);
                errors.expect(valid, path, "a factor from 0 to 1000");
            }
            DayFault::FailingTenant {
                tenant,
                requests_per_second,
            } => {
                let known = self.tenants.iter().any(|known| known.name == *tenant);
                let rate = (0.0..=100_000.0).contains(requests_per_second);
                errors.expect(
                    known && rate,
                    path,
                    "a tenant's name and 0 to 100000 requests per second",
                );
            }
            _ => {}
        }
    }
}

fn sums_to_one(shares: f64) -> bool {
    (shares - 1.0).abs() < SHARE_SUM_TOLERANCE
}
