//! Runs mutated sidecars on real sockets through a scripted day, and checks that the rule checker detects the
//! violation.

use limewing_emulators::day;
use limewing_emulators::script::DayScript;
use limewing_rule_checker::checker::RuleChecker;
use limewing_rule_checker::record::read;
use limewing_rule_checker::report::Rule;
use rstest::rstest;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

#[rstest]
#[case::swallow("swallow", Rule::OneAnswer)]
#[case::twice("twice", Rule::OneAnswer)]
#[case::resend("resend", Rule::NoEffectTwice)]
#[case::bounce("bounce", Rule::NoEffectTwice)]
#[case::drained("drained", Rule::Draining)]
#[case::cold("cold", Rule::SlowStart)]
#[case::cap("cap", Rule::Exposure)]
fn the_violation_of_a_mutant_is_detected(#[case] mutation: &str, #[case] rule: Rule) {
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join(format!("mutant-{mutation}"));
    std::os::unix::fs::symlink(env!("CARGO_BIN_EXE_limewing-mutants"), &program).unwrap();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short-quiet.json");
    let script: DayScript = limewing_settings::read(&file).unwrap();
    let record = day::run(&script, &program, folder.path(), &mut |_| ()).unwrap();
    let lines = read(BufReader::new(File::open(record).unwrap())).unwrap();
    let report = RuleChecker::new(&lines).unwrap().report();
    let violated: Vec<Rule> = report
        .violated_results()
        .map(|result| result.rule)
        .collect();
    assert!(violated.contains(&rule), "{violated:?}");
}
