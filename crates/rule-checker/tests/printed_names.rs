//! Pins the words by which violations and the terminal view name things: the tests of the command look requests up by them.

use limewing_rule_checker::record::{AttemptKey, Phase, PodId, RequestId, SidecarId};

#[test]
fn identifiers_are_printed_in_their_first_form() {
    let attempt = AttemptKey::new(RequestId(7), 2);
    assert_eq!(attempt.to_string(), "Try(OrderId(7), 2)");
    assert_eq!(PodId(31).to_string(), "PodNo(31)");
    assert_eq!(SidecarId(4).to_string(), "SidecarNo(4)");
}

#[test]
fn phases_are_printed_in_their_first_form() {
    let phases = [
        Phase::OnTrial,
        Phase::RollingBack,
        Phase::Released,
        Phase::RolledBack,
    ];
    let printed = phases.map(|phase| phase.to_string());
    assert_eq!(printed, ["OnTrial", "GoingBack", "Released", "Withdrawn"]);
}
