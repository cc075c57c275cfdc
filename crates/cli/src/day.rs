//! Days from the command line: played, checked, shown.

use crate::Stop;
use crate::{plot, show};
use limewing_emulators::day;
use limewing_emulators::script::DayScript;
use limewing_rule_checker::balance::load_by_second;
use limewing_rule_checker::checker::RuleChecker;
use limewing_rule_checker::cross_sidecar::check_across_sidecars;
use limewing_rule_checker::maintenance::check_maintenance;
use limewing_rule_checker::record;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

/// The day that `demo` plays.
const DEMO: &str = include_str!("../../../days/demo.json");

pub fn play(script: &DayScript, folder: &Path) -> Result<(), Stop> {
    let record = record_of(script, folder)?;
    println!("record: {}", record.display());
    let drawn = plot_load(&record, &folder.join("load.svg"));
    check(&record).and(drawn)
}

fn record_of(script: &DayScript, folder: &Path) -> Result<PathBuf, Stop> {
    let program = std::env::current_exe().map_err(Stop::failed)?;
    let view = show::View::new(&script.name);
    let record = day::play(script, &program, folder, &mut |progress| {
        view.show(&progress)
    });
    view.end();
    record.map_err(Stop::failed)
}

/// Draws what each pod got over time.
fn plot_load(record: &Path, to: &Path) -> Result<(), Stop> {
    let lines = lines(record)?;
    let courses: Vec<plot::Course> = load_by_second(&lines)
        .into_values()
        .map(|points| {
            points
                .iter()
                .map(|point| (point.second, point.load))
                .collect()
        })
        .collect();
    plot::draw(
        to,
        "forwards a second and strength, by pod",
        "forwards",
        &courses,
    )
}

pub fn check(file: &Path) -> Result<(), Stop> {
    let lines = lines(file)?;
    let checker = RuleChecker::new(&lines)
        .ok_or_else(|| Stop::input(format!("{}: no day's terms", file.display())))?;
    let report = checker.report();
    println!("{}", show::table(&report));
    let maintenance = check_maintenance(&lines);
    if let Some(maintenance) = &maintenance {
        show::maintenance(maintenance);
    }
    if let Some(counts) = check_across_sidecars(&lines) {
        show::across_sidecars(&counts);
    }
    let broken = report.broken().count();
    if broken > 0 {
        return Err(Stop::failed(format!(
            "{broken} of the five rules were broken"
        )));
    }
    let wrong = maintenance.map_or(0, |report| report.violations.len());
    if wrong > 0 {
        return Err(Stop::failed(format!(
            "{wrong} times machines were out as they must not be"
        )));
    }
    Ok(())
}

fn lines(file: &Path) -> Result<Vec<record::RecordLine>, Stop> {
    let name = file.display();
    let open = File::open(file).map_err(|e| Stop::input(format!("{name}: {e}")))?;
    record::read(BufReader::new(open)).map_err(|e| Stop::input(format!("{name}: {e}")))
}

pub fn demo(folder: Option<PathBuf>) -> Result<(), Stop> {
    let script = limewing_settings::read_text("the demo's script", DEMO).map_err(Stop::failed)?;
    match folder {
        Some(folder) => play(&script, &folder),
        None => {
            let folder = tempfile::tempdir().map_err(Stop::failed)?;
            check(&record_of(&script, folder.path())?)
        }
    }
}
