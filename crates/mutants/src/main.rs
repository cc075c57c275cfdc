//! A sidecar that deliberately violates a rule. It takes the arguments of `limewing sidecar FILE --with-parent`. The
//! last part of its program name selects the violation, as in `mutant-cap`.

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

const USAGE: &str = "usage: mutant-{resend,bounce,swallow,twice,cap,drained,cold} sidecar FILE";
/// The exit code for invalid arguments, and for a sidecar that failed to start.
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

/// Returns the mutation and the settings file selected by the command line.
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

/// Exits the process when its standard input is closed, which happens when the parent exits.
fn exit_with_parent() {
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        process::exit(0);
    });
}
