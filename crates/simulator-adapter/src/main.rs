//! `limewing-wirehost`: runs many instances of the decision engine and serves them over the
//! simulator's wire protocol on standard input and output. It only translates between the two and
//! makes no decisions.

mod host;

use host::Host;
use limewing_simulator_protocol::{read_batch, FrameError, Reply};
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// The size of the input buffer and of the output buffer, in bytes.
const BUFFER_BYTES: usize = 1 << 20;
/// The exit status after an invalid frame.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    // A panic is reported in the reply of the instance that caused it, so standard error contains
    // only the program's own errors.
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::default();
    let mut reply = Reply::default();
    loop {
        let batch = match read_batch(&mut input) {
            Ok(Some(batch)) => batch,
            Ok(None) => return ExitCode::SUCCESS,
            Err(error) => return exit_on_invalid_frame(&mut output, &error),
        };
        let number = batch.number;
        if let Err(error) = host.handle(batch, &mut reply) {
            return exit_on_invalid_frame(&mut output, &error);
        }
        if reply.write_to(number, &mut output).is_err() {
            return ExitCode::FAILURE;
        }
    }
}

fn exit_on_invalid_frame(output: &mut impl Write, error: &FrameError) -> ExitCode {
    // Every reply was flushed when it was written, so nothing is lost if flushing fails here.
    drop(output.flush());
    eprintln!("limewing-wirehost: {error}");
    ExitCode::from(EXIT_INVALID_INPUT)
}
