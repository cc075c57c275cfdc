//! Pins the printed forms of identifiers and phases: the tests of the command look up requests in violations by them.

use limewing_rule_checker::record::{AttemptKey, Phase, PodId, RequestId, SidecarId};

#[test]
fn printed_identifiers_are_stable() {
    let attempt = AttemptKey::new(RequestId(7), 2);
    assert_eq!(attempt.to_string(), "Try(OrderId(7), 2)");
    assert_eq!(PodId(31).to_string(), "PodNo(31)");
    assert_eq!(SidecarId(4).to_string(), "SidecarNo(4)");
}

#[test]
fn printed_phases_are_stable() {
    let phases = [
        Phase::OnTrial,
        Phase::RollingBack,
        Phase::Released,
        Phase::RolledBack,
    ];
    let printed = phases.map(|phase| phase.to_string());
    assert_eq!(printed, ["OnTrial", "GoingBack", "Released", "Withdrawn"]);
}
