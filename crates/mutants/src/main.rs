//! A sidecar that breaks a rule on purpose. It is called like `limewing sidecar FILE --with-parent`; which rule it breaks
//! is told by the last part of the name that it is called by, as in `mutant-cap`.

mod duplicate_answers;
mod mutated_decisions;
mod mutation;

use limewing_http_proxy::service::Service;
use limewing_settings::SidecarSettings;
use mutated_decisions::MutatedDecisions;
use mutation::Mutation;
use std::io;
use std::path::Path;
use std::process::{self, ExitCode};
use std::thread;

const USAGE: &str =
    "call as mutant-resend, -bounce, -swallow, -twice, -cap, -drained or -cold: sidecar FILE";
/// The exit code of a wrong call, and of a sidecar that could not start.
const EXIT_NOT_STARTED: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let Some((mutation, file)) = parse_arguments(&arguments) else {
        eprintln!("{USAGE}");
        return ExitCode::from(EXIT_NOT_STARTED);
    };
    let settings: SidecarSettings = match limewing_settings::read(Path::new(file)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    exit_with_parent();
    let started = Service::start_with(&settings, |now, config| {
        Box::new(MutatedDecisions::new(now, config, mutation))
    });
    let Ok(service) = started else {
        return ExitCode::from(EXIT_NOT_STARTED);
    };
    let address = if mutation == Mutation::AnswersTwice {
        duplicate_answers::start_relay(service.address())
    } else {
        Ok(service.address())
    };
    let Ok(address) = address else {
        return ExitCode::from(EXIT_NOT_STARTED);
    };
    println!("listening {address}");
    match service.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// The mutation and the settings file that a call names.
fn parse_arguments(arguments: &[String]) -> Option<(Mutation, &str)> {
    let [program, command, file, ..] = arguments else {
        return None;
    };
    let program_name = Path::new(program).file_name()?.to_str()?;
    let mutation = Mutation::from_program_name(program_name)?;
    if command != "sidecar" {
        return None;
    }
    Some((mutation, file))
}

/// Ends the process when its standard input does, as it does with the parent.
fn exit_with_parent() {
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        process::exit(0);
    });
}
