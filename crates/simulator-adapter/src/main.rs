//! `limewing-wirehost`: hosts many instances of the decision engine on the simulator's wire, on standard input and output.
//! It translates, and decides nothing.

mod host;

use host::Host;
use limewing_simulator_protocol::{read_batch, FrameError, Reply};
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// Bytes that are buffered of the input, and of the output.
const BUFFER_BYTES: usize = 1 << 20;
/// Exit status after a frame that can't be used.
const EXIT_UNUSABLE_INPUT: u8 = 2;

fn main() -> ExitCode {
    // A panic goes into the reply of the instance that it struck; standard error stays for the program's own errors.
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::default();
    let mut reply = Reply::default();
    loop {
        let batch = match read_batch(&mut input) {
            Ok(Some(batch)) => batch,
            Ok(None) => return ExitCode::SUCCESS,
            Err(error) => return exit_on_unusable_frame(&mut output, &error),
        };
        let number = batch.number;
        if let Err(error) = host.handle(batch, &mut reply) {
            return exit_on_unusable_frame(&mut output, &error);
        }
        if reply.write_to(number, &mut output).is_err() {
            return ExitCode::FAILURE;
        }
    }
}

fn exit_on_unusable_frame(output: &mut impl Write, error: &FrameError) -> ExitCode {
    // Every reply was flushed as it was written: a failure here loses nothing.
    drop(output.flush());
    eprintln!("limewing-wirehost: {error}");
    ExitCode::from(EXIT_UNUSABLE_INPUT)
}
