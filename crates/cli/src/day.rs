//! Days from the command line: played, checked, shown.

use crate::show;
use crate::Stop;
use limewing_account::record;
use limewing_account::rules::{self, Account};
use limewing_standins::day;
use limewing_standins::script::DayScript;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

/// The day that `demo` plays.
const DEMO: &str = include_str!("../../../days/demo.json");

pub fn play(script: &DayScript, folder: &Path) -> Result<(), Stop> {
    let record = record_of(script, folder)?;
    println!("record: {}", record.display());
    check(&record)
}

fn record_of(script: &DayScript, folder: &Path) -> Result<PathBuf, Stop> {
    let program = std::env::current_exe().map_err(Stop::failed)?;
    let view = show::View::new(&script.name);
    let record = day::play(script, &program, folder, &mut |progress| view.show(&progress));
    view.end();
    record.map_err(Stop::failed)
}

pub fn check(file: &Path) -> Result<(), Stop> {
    let account = account(file)?;
    println!("{}", show::table(&account));
    let broken = account.findings.iter().filter(|finding| !finding.breaches.is_empty()).count();
    match broken {
        0 => Ok(()),
        broken => Err(Stop::failed(format!("{broken} of the five rules were broken"))),
    }
}

fn account(file: &Path) -> Result<Account, Stop> {
    let name = file.display();
    let open = File::open(file).map_err(|e| Stop::input(format!("{name}: {e}")))?;
    let lines = record::read(BufReader::new(open)).map_err(|e| Stop::input(format!("{name}: {e}")))?;
    rules::check(&lines).ok_or_else(|| Stop::input(format!("{name}: no day's terms")))
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
